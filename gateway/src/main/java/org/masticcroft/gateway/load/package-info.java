/** Datagrams between processes, and the load of engines. */
package org.masticcroft.gateway.load;
