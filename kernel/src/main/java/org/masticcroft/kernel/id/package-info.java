/** Identifiers shared by several modules, such as {@link org.masticcroft.kernel.id.WeightsDigest}. */
package org.masticcroft.kernel.id;
