/**
 * Records that the operator and the upstreams publish in the platform's store, and how a process follows them. Start
 * reading with {@link org.masticcroft.gateway.fleet.DirectoryFollower}.
 */
package org.masticcroft.gateway.fleet;
