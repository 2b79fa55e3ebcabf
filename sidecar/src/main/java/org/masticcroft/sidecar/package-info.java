/** The per-upstream role. */
package org.masticcroft.sidecar;
