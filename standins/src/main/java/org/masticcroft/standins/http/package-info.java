/**
 * HTTP server and JSON helpers that all stand-ins share. Start with {@link
 * org.masticcroft.standins.http.StandInServer}.
 */
package org.masticcroft.standins.http;
