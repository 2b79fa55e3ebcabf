/**
 * Clocks that are injected, so that tests and replays control the time. Start with
 * {@link org.masticcroft.kernel.time.TimeSource}.
 */
package org.masticcroft.kernel.time;
