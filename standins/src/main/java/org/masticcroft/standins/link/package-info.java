/** TCP forwarder that emulates a network link with delay, limited rate and partitions. */
package org.masticcroft.standins.link;
