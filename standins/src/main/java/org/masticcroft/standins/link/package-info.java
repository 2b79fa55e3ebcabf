/** TCP forwarder that emulates a link with delay, limited rate and partitions. */
package org.masticcroft.standins.link;
