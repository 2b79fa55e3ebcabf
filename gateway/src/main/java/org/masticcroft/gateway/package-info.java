/** Entry and sidecar for machines without a disk. All state of a process belongs to its one event loop. */
package org.masticcroft.gateway;
