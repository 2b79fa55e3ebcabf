/** The HTTP server of the service binary. */
package org.masticcroft.service.http;
