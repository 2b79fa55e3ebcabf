/** HTTP server and client on one event loop, and the types of requests and answers. */
package org.masticcroft.gateway.http;
