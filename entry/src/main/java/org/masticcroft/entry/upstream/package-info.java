/** What the entry knows about upstreams: where they are, what they serve, how loaded they are. */
package org.masticcroft.entry.upstream;
