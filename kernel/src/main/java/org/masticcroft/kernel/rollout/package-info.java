/**
 * Plans from which source a sidecar fetches each chunk of the weights: the weight store or a peer. Start with
 * {@link org.masticcroft.kernel.rollout.FetchPlanner}; the default is
 * {@link org.masticcroft.kernel.rollout.RegionalSwarmPlanner}.
 */
package org.masticcroft.kernel.rollout;
