/** Clients of the platform: log service, weight store, instance list and engines. */
package org.masticcroft.ports;
