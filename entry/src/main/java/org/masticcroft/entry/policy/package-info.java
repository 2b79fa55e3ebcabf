/** Selection of the decision plug-ins that the configuration names, with minimal substitutes. */
package org.masticcroft.entry.policy;
