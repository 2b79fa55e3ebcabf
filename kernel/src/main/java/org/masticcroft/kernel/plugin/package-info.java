/** Registration and look-up of decision plug-ins. */
package org.masticcroft.kernel.plugin;
