/**
 * Timers on the injected clock and serial execution of the events of one request.
 *
 * <p>Start with {@link org.masticcroft.entry.task.SerialExecutor} and {@link org.masticcroft.entry.task.Timers}.
 */
package org.masticcroft.entry.task;
