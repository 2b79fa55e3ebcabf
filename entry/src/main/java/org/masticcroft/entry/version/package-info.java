/**
 * The lowest configuration version under which the entry may serve requests.
 *
 * <p>{@link org.masticcroft.entry.version.VersionGate} is the entry point.
 */
package org.masticcroft.entry.version;
