/**
 * HTTP server and client that share one Netty event loop, and the types of requests and responses. Start reading with
 * {@link org.masticcroft.gateway.http.HttpServer} and {@link org.masticcroft.gateway.http.PooledHttpClient}.
 */
package org.masticcroft.gateway.http;
