package org.masticcroft.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/** Writes the answer to one request of a caller. Used on the event loop only. */
public interface ResponseWriter {
    /** Writes a complete answer. */
    void writeFull(int status, HttpHeaders headers, ByteBuf body);

    /** Starts an answer whose length is not known yet. */
    void start(int status, HttpHeaders headers);

    /** Writes a part of a started answer; takes over the reference to the buffer. */
    void writeChunk(ByteBuf content);

    /** Completes a started answer. */
    void end();

    /** Closes the connection, so that the answer does not look complete. */
    void abort();

    /** Sets what is called once if the caller leaves before the answer is complete. */
    void onDisconnect(Runnable action);
}
