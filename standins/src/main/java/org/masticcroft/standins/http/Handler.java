package org.masticcroft.standins.http;

import java.io.IOException;

/** Handles one call. */
@FunctionalInterface
public interface Handler {
    /** Handles a call; it responds or drops the connection. */
    void handle(Call call) throws IOException, InterruptedException;
}
