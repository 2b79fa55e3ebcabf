/**
 * The part of the audit account that an entry writes: a record of each request and of each change of the configuration
 * or the named weights. Start reading with {@link org.masticcroft.gateway.account.AccountRecorder}.
 */
package org.masticcroft.gateway.account;
