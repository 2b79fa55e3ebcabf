package org.masticcroft.entry.request;

import org.masticcroft.entry.order.StoredAnswer;

/** Sends an answer to the caller. Called by one thread at a time; may block while the caller reads slowly. */
public interface AnswerSink {
    /** Sends a complete answer. */
    void sendAnswer(AnswerHeaders headers, StoredAnswer answer);

    /** Starts a stream of server-sent events. */
    void beginStream(AnswerHeaders headers);

    /** Sends a chunk of the stream and flushes it; returns false if the caller has disconnected. */
    boolean sendChunk(byte[] data);

    /** Ends the stream. */
    void endStream();

    /** Sends a failure; if a stream was started, as its last event. */
    void sendFailure(AnswerHeaders headers, Failure failure);
}
