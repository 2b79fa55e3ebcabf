/** Small HTTP server and JSON helpers shared by the stand-ins. */
package org.masticcroft.standins.http;
