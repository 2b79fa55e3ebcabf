/** Placement of versions on engines. */
package org.masticcroft.kernel.placement;
