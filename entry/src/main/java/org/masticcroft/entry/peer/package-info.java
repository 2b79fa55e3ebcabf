/**
 * Messages exchanged with other entries and with sidecars, except dispatches.
 *
 * <p>{@link org.masticcroft.entry.peer.EntryPeerHandler} handles incoming requests,
 * {@link org.masticcroft.entry.peer.StatusPoller} sends the status requests.
 */
package org.masticcroft.entry.peer;
