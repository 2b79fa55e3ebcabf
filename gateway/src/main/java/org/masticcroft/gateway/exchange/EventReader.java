package org.masticcroft.gateway.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.OptionalLong;

/**
 * Splits a stream into whole events. An upstream may stop in the middle of an event, and a stream that continues
 * elsewhere may repeat events; only whole events that follow the last one pass.
 */
final class EventReader {
    private static final String ID_FIELD = "id:";
    private static final int FIRST_CAPACITY = 1024;

    private byte[] pending = new byte[FIRST_CAPACITY];
    private int length;
    private long lastId;
    private boolean gap;

    private EventReader(long lastId) {
        this.lastId = lastId;
    }

    /** Creates a reader that expects the event after the given one; 0 for the first event. */
    static EventReader after(long lastId) {
        return new EventReader(lastId);
    }

    /** Returns the number of the last event that passed; 0 if there was none. */
    long lastId() {
        return lastId;
    }

    /** Returns whether an event is missing before the newest one. */
    boolean gap() {
        return gap;
    }

    /** Returns whether the stream stopped in the middle of an event. */
    boolean partial() {
        return length > 0;
    }

    /** Drops the part of an event that was received, before another upstream continues. */
    void restart() {
        length = 0;
    }

    /** Adds bytes and returns the events that they complete; empty if they complete none. */
    ByteBuf read(ByteBuf content) {
        append(content);
        int start = 0;
        int passedFrom = -1;
        ByteBuf passed = Unpooled.EMPTY_BUFFER;
        for (int i = 1; i < length; i++) {
            if (pending[i] != '\n' || pending[i - 1] != '\n' || i <= start) {
                continue;
            }
            int end = i + 1;
            if (follows(start, end)) {
                passedFrom = passedFrom < 0 ? start : passedFrom;
            } else if (passedFrom >= 0) {
                passed = join(passed, passedFrom, start);
                passedFrom = -1;
            }
            start = end;
        }
        if (passedFrom >= 0) {
            passed = join(passed, passedFrom, start);
        }
        System.arraycopy(pending, start, pending, 0, length - start);
        length -= start;
        return passed;
    }

    private boolean follows(int start, int end) {
        OptionalLong id = id(start, end);
        if (id.isEmpty()) {
            return true;
        }
        if (id.getAsLong() <= lastId) {
            return false;
        }
        if (lastId > 0 && id.getAsLong() != lastId + 1) {
            gap = true;
            return false;
        }
        lastId = id.getAsLong();
        return true;
    }

    private OptionalLong id(int start, int end) {
        String event = new String(pending, start, end - start, StandardCharsets.ISO_8859_1);
        for (String line : event.split("\n")) {
            if (line.startsWith(ID_FIELD)) {
                String value = line.substring(ID_FIELD.length()).trim();
                return value.chars().allMatch(Character::isDigit) && !value.isEmpty()
                        ? OptionalLong.of(Long.parseLong(value))
                        : OptionalLong.empty();
            }
        }
        return OptionalLong.empty();
    }

    private void append(ByteBuf content) {
        int added = content.readableBytes();
        if (length + added > pending.length) {
            pending = Arrays.copyOf(pending, Math.max(2 * pending.length, length + added));
        }
        content.getBytes(content.readerIndex(), pending, length, added);
        length += added;
    }

    private ByteBuf join(ByteBuf passed, int from, int to) {
        ByteBuf event = Unpooled.copiedBuffer(pending, from, to - from);
        return passed.isReadable() ? Unpooled.wrappedBuffer(passed, event) : event;
    }
}
