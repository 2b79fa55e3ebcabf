/**
 * Domain types, configuration model and decision policies. Start with {@link org.masticcroft.kernel.config.FleetConfig}
 * and the interfaces that extend {@link org.masticcroft.kernel.plugin.Plugin}.
 */
package org.masticcroft.kernel;
