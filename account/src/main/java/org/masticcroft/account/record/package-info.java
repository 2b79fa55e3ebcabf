/** The records of the audit account. */
package org.masticcroft.account.record;
