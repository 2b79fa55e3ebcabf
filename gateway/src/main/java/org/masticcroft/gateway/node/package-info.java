/** The two roles of a process. */
package org.masticcroft.gateway.node;
