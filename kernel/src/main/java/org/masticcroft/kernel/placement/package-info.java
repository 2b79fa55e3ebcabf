/**
 * Plans which weights an engine fetches, loads and unloads to reach its target. Start with
 * {@link org.masticcroft.kernel.placement.PlacementPlanner}; the default is
 * {@link org.masticcroft.kernel.placement.SideBySidePlanner}.
 */
package org.masticcroft.kernel.placement;
