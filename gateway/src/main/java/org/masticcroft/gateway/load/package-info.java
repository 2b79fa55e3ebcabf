/**
 * Datagrams between the processes of the fleet, and the load of engines that they report. Start reading with
 * {@link org.masticcroft.gateway.load.DatagramPort}.
 */
package org.masticcroft.gateway.load;
