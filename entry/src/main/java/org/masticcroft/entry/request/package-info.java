/**
 * Handling of one caller request from its arrival to the audit record: validation, admission, dispatch to a sidecar,
 * retries, resumption of streams and the answer.
 *
 * <p>{@link org.masticcroft.entry.request.RequestLifecycle} is the state machine of a request and the place to start
 * reading.
 */
package org.masticcroft.entry.request;
