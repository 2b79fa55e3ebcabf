/** Requests during which upstreams crashed: marks, isolation and quarantine. */
package org.masticcroft.entry.suspect;
