/**
 * How late an event loop handles its input. A process that is busy, cold or paused handles an input some time after it
 * arrived; what a decision promises must count from the arrival. Start reading with
 * {@link org.masticcroft.gateway.loop.InputTimes}.
 */
package org.masticcroft.gateway.loop;
