/** The log of decisions. */
package org.masticcroft.gateway.log;
