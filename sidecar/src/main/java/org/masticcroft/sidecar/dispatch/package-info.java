/**
 * Execution of requests that entries dispatch to the upstream of this sidecar.
 *
 * <p>Start reading with {@link org.masticcroft.sidecar.dispatch.Dispatcher}, which accepts a dispatch, and
 * {@code DispatchRun}, which sends it to the upstream.
 *
 * <p>Lock order: {@code SlotTable}, then {@code ActiveDispatch}. No lock is held during I/O. Each running request has a
 * worker thread; the I/O threads of the peer protocol only look up and enqueue.
 */
package org.masticcroft.sidecar.dispatch;
