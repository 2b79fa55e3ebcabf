/**
 * Selection of the policy plug-ins that the configuration names, with built-in fallbacks.
 *
 * <p>{@link org.masticcroft.entry.policy.Policies} is the entry point.
 */
package org.masticcroft.entry.policy;
