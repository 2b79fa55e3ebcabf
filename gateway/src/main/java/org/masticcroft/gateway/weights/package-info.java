/** How new weights get onto the engine of a machine. */
package org.masticcroft.gateway.weights;
