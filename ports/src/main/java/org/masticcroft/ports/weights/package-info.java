/** Client of the weight store and the origin. */
package org.masticcroft.ports.weights;
