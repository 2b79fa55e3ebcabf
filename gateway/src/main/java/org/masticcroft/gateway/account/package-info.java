/** The account of an entry: what it states about each request and each change of the configuration. */
package org.masticcroft.gateway.account;
