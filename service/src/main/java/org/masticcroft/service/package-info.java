/**
 * The {@code masticcroftd} binary, which runs an entry or a sidecar. Start with {@link org.masticcroft.service.Main}.
 */
package org.masticcroft.service;
