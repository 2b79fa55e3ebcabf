/**
 * Isolation and quarantine of requests that are suspected of crashing upstreams.
 *
 * <p>{@link org.masticcroft.entry.suspect.SuspectTable} is the entry point.
 */
package org.masticcroft.entry.suspect;
