package org.masticcroft.harness.history;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import org.masticcroft.harness.json.Json;

/**
 * Appends lines to a history. Each line is one write in append mode, so that the load driver and scripts can write to
 * one file at the same time.
 */
public final class HistoryWriter implements AutoCloseable {
    private static final String TYPE = "type";

    private final FileChannel channel;

    private HistoryWriter(FileChannel channel) {
        this.channel = channel;
    }

    /** Opens a history file for appending and creates it if it does not exist. */
    public static HistoryWriter open(Path file) {
        try {
            return new HistoryWriter(FileChannel.open(
                    file, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.APPEND));
        } catch (IOException e) {
            throw new UncheckedIOException("cannot open history " + file, e);
        }
    }

    /** Writes a request before it is sent. */
    public void write(Invoke invoke) {
        append("invoke", Json.tree(invoke));
    }

    /** Writes the outcome of a request. */
    public void write(Outcome outcome) {
        append("outcome", Json.tree(outcome));
    }

    /** Writes a mark. */
    public void write(Mark mark) {
        append("mark", Json.tree(mark));
    }

    @Override
    public void close() {
        try {
            channel.close();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot close the history", e);
        }
    }

    private synchronized void append(String type, ObjectNode fields) {
        ObjectNode line = Json.object().put(TYPE, type);
        line.setAll(fields);
        ByteBuffer data = ByteBuffer.wrap((Json.line(line) + "\n").getBytes(StandardCharsets.UTF_8));
        try {
            while (data.hasRemaining()) {
                channel.write(data);
            }
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write to the history", e);
        }
    }
}
