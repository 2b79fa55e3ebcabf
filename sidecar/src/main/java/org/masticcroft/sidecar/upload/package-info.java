/**
 * Serves chunks, read back from the engine, to peers. Start reading with {@link
 * org.masticcroft.sidecar.upload.ChunkUploads}.
 */
package org.masticcroft.sidecar.upload;
