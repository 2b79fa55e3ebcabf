/**
 * Loading and look-up of the plug-ins that implement decision policies. Start with
 * {@link org.masticcroft.kernel.plugin.PluginRegistry}.
 */
package org.masticcroft.kernel.plugin;
