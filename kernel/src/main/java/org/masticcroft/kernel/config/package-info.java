/**
 * The configuration model, its loading from a folder, and the version in force according to the log.
 *
 * <p>Start with {@link org.masticcroft.kernel.config.FleetConfig}, the configuration itself. {@link
 * org.masticcroft.kernel.config.ConfigLoader} reads and validates it from YAML files; {@link
 * org.masticcroft.kernel.config.ConfigFold} derives the version in force from the records of the log.
 */
package org.masticcroft.kernel.config;
