/**
 * Reports the status of the sidecar to entries and notifies them of a planned stop. Start reading with {@link
 * org.masticcroft.sidecar.status.StatusReporter}.
 */
package org.masticcroft.sidecar.status;
