/**
 * Distribution of new weights to the engine of a machine: fetching from the origin and other sidecars, staging and
 * loading. Start reading with {@link org.masticcroft.gateway.weights.WeightsUpdater}.
 */
package org.masticcroft.gateway.weights;
