/**
 * The entry role: it admits the requests of callers, routes them to upstreams, answers and accounts for them.
 *
 * <p>Each request is a state machine whose events run one at a time on a bounded pool of workers
 * ({@link org.masticcroft.entry.task.SerialExecutor}); its state needs no lock. The tables that requests share each
 * have one lock. A thread that holds several takes them in this order:
 *
 * <ol>
 *   <li>admission gate ({@link org.masticcroft.entry.admission.AdmissionGate})
 *   <li>suspect table ({@link org.masticcroft.entry.suspect.SuspectTable})
 *   <li>upstream table ({@link org.masticcroft.entry.upstream.UpstreamTable}), then the circuit breaker of an upstream
 *   <li>claim log ({@link org.masticcroft.entry.order.ClaimLog})
 *   <li>timers, serial executors, request registry, retry budget, random numbers: they call nothing while locked
 * </ol>
 *
 * <p>No lock is held during a call to a peer, the log or a caller. The gate and the claim log notify a request by
 * putting an event into its serial executor, which never runs the event on the notifying thread.
 */
package org.masticcroft.entry;
