/** Serving of chunks to peers, read back from the engine. */
package org.masticcroft.sidecar.upload;
