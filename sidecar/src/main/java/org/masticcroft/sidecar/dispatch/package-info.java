/**
 * Execution of dispatches on the upstream.
 *
 * <p>Lock order: {@code SlotTable}, then {@code ActiveDispatch}. No lock is held during I/O. Requests run on worker
 * threads, one per running request; the I/O threads of the peer protocol only look up and enqueue.
 */
package org.masticcroft.sidecar.dispatch;
