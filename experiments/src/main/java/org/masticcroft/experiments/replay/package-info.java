/**
 * Discrete-event simulation with fakes of an engine and of a network link. Start reading with
 * {@link org.masticcroft.experiments.replay.EventLoop}.
 */
package org.masticcroft.experiments.replay;
