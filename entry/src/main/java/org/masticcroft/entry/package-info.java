/**
 * The entry role: admits the requests of callers, routes them to upstreams, returns the answers and writes the audit
 * records. Start with {@link org.masticcroft.entry.EntryRole}.
 *
 * <p>Each request is a state machine whose events run one at a time on a bounded thread pool
 * ({@link org.masticcroft.entry.task.SerialExecutor}); its state needs no lock. Each table that requests share
 * has one lock. A thread that acquires several locks does so in this order:
 *
 * <ol>
 *   <li>admission gate ({@link org.masticcroft.entry.admission.AdmissionGate})
 *   <li>upstream table ({@link org.masticcroft.entry.upstream.UpstreamTable})
 *   <li>suspect table ({@link org.masticcroft.entry.suspect.SuspectTable}), circuit breaker of an upstream
 *   <li>claim log ({@link org.masticcroft.entry.order.ClaimLog})
 *   <li>timers, serial executors, request registry, retry budget, random numbers; these call no other component while
 *       locked
 * </ol>
 *
 * <p>No lock is held during a call to a peer, the log or a caller. The gate and the claim log notify a request by
 * submitting a task to its serial executor, which never runs it on the notifying thread.
 */
package org.masticcroft.entry;
