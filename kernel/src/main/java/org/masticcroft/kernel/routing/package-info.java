/** The choice of an upstream for a request. */
package org.masticcroft.kernel.routing;
