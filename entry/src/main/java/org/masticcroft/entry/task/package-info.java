/** Timers on the injected clock and serial execution of the events of one request. */
package org.masticcroft.entry.task;
