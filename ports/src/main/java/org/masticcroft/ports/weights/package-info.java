/**
 * Reads manifests and chunks from the weight store and the origin, and verifies them. Start with
 * {@link org.masticcroft.ports.weights.WeightSource}.
 */
package org.masticcroft.ports.weights;
