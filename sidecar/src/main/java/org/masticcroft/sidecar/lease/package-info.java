/**
 * The lease on an upstream, which ensures that only one sidecar process gives commands to the engine. Its fencing token
 * is the log offset of the lease record, so it needs no clock. Start reading with
 * {@link org.masticcroft.sidecar.lease.LeaseHolder}.
 *
 * <p>All state is guarded by the monitor of {@link org.masticcroft.sidecar.lease.LeaseHolder}, which is held while the
 * log is read; only background threads of the sidecar call it.
 */
package org.masticcroft.sidecar.lease;
