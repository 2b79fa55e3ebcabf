package org.masticcroft.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/** Writes the response to one request of an {@link HttpServer}. Used on the event loop only. */
public interface ResponseWriter {
    /** Writes a complete response. */
    void writeFull(int status, HttpHeaders headers, ByteBuf body);

    /** Starts a chunked response, whose length is not known yet. */
    void start(int status, HttpHeaders headers);

    /** Writes a chunk of a started response; takes ownership of the buffer. */
    void writeChunk(ByteBuf content);

    /** Completes a started response. */
    void end();

    /** Closes the connection, so that the client does not take the response for complete. */
    void abort();

    /** Returns the monotonic time in nanoseconds before which the request has not arrived. */
    long earliestArrivalNanos();

    /**
     * Returns whether the caller is still connected. Reads what has arrived on the connection first, if the event loop
     * has not done so for a while.
     */
    boolean connected();

    /**
     * Has an action run once the caller has read enough of what was written. Returns false
     * without keeping the action if the caller keeps up.
     */
    boolean awaitWritable(Runnable action);

    /** Sets the action that runs once if the client disconnects before the response is complete. */
    void onDisconnect(Runnable action);
}
