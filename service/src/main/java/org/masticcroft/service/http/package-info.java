/**
 * The HTTP server of {@code masticcroftd}, on Dropwizard. Start with
 * {@link org.masticcroft.service.http.ServiceApplication}.
 */
package org.masticcroft.service.http;
