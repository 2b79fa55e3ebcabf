/** The audit account: records, hash chain, signatures, export, verification and reports. */
package org.masticcroft.account;
