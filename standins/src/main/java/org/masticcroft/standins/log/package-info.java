/** Stand-in of the platform's log service, in memory. Start with {@link org.masticcroft.standins.log.LogStandIn}. */
package org.masticcroft.standins.log;
