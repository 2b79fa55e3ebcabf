/** Stand-in of the weight store and of the origin of weights. */
package org.masticcroft.standins.store;
