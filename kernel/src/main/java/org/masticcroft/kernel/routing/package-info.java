/**
 * Load balancing: chooses the upstream that serves a request. Start with
 * {@link org.masticcroft.kernel.routing.UpstreamChooser}; the default is
 * {@link org.masticcroft.kernel.routing.PrefixAffinityChooser}.
 */
package org.masticcroft.kernel.routing;
