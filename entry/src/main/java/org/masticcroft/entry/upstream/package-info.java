/**
 * State of the upstreams as the entry knows it: their instances, the weights that they serve, and their load.
 *
 * <p>{@link org.masticcroft.entry.upstream.UpstreamTable} is the entry point.
 */
package org.masticcroft.entry.upstream;
