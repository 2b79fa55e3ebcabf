package org.masticcroft.gateway.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Splits a stream into events, which end with an empty line. An upstream may fail in the middle of an event, and
 * another upstream that resumes the stream may repeat events. The reader therefore returns only complete events that
 * follow the last one returned.
 */
final class EventReader {
    private static final String ID_FIELD = "id:";

    /** Fields of an event without an id; the empty name is that of a comment. */
    private static final Set<String> OTHER_FIELDS = Set.of("", "data", "event", "retry");

    private static final int INITIAL_CAPACITY = 1024;

    /** Maximum size of an event; a longer one is taken for bytes without end. */
    private static final int MAX_EVENT_BYTES = 65_536;

    /** Events without an id that may follow one another; they are no progress of a stream. */
    private static final int MAX_EVENTS_WITHOUT_ID = 64;

    /** Digits of the largest id that a long holds for certain. */
    private static final int MAX_ID_DIGITS = 18;

    private byte[] pending = new byte[INITIAL_CAPACITY];
    private int length;
    private long lastEventId;
    private boolean gap;
    private boolean invalid;
    private int eventsWithoutId;

    private EventReader(long lastEventId) {
        this.lastEventId = lastEventId;
    }

    /** Creates a reader that expects the event after the one with the given id; 0 for a new stream. */
    static EventReader after(long lastEventId) {
        return new EventReader(lastEventId);
    }

    /** Returns the id of the last event that was returned; 0 if there was none. */
    long lastEventId() {
        return lastEventId;
    }

    /** Returns whether an event is missing in the stream. */
    boolean hasGap() {
        return gap;
    }

    /** Returns whether the bytes are no stream of events: an event without end, an invalid id or an unknown field. */
    boolean invalid() {
        return invalid;
    }

    /** Returns whether part of an event has been received. */
    boolean hasPartial() {
        return length > 0;
    }

    /**
     * Adds received bytes and returns the events that they complete; empty if there are none. Nothing is returned from
     * a gap or invalid bytes on.
     */
    ByteBuf read(ByteBuf content) {
        append(content);
        int start = 0;
        int acceptedFrom = -1;
        ByteBuf accepted = Unpooled.EMPTY_BUFFER;
        for (int i = 1; i < length && !gap && !invalid; i++) {
            if (pending[i] != '\n' || pending[i - 1] != '\n' || i <= start) {
                continue;
            }
            int end = i + 1;
            if (isNext(start, end)) {
                acceptedFrom = acceptedFrom < 0 ? start : acceptedFrom;
            } else if (acceptedFrom >= 0) {
                accepted = join(accepted, acceptedFrom, start);
                acceptedFrom = -1;
            }
            start = end;
        }
        if (acceptedFrom >= 0) {
            accepted = join(accepted, acceptedFrom, start);
        }
        System.arraycopy(pending, start, pending, 0, length - start);
        length -= start;
        invalid |= length > MAX_EVENT_BYTES;
        return accepted;
    }

    private boolean isNext(int start, int end) {
        OptionalLong id = id(start, end);
        if (id.isEmpty()) {
            eventsWithoutId++;
            invalid |= eventsWithoutId > MAX_EVENTS_WITHOUT_ID;
            return !invalid;
        }
        eventsWithoutId = 0;
        if (id.getAsLong() <= lastEventId) {
            return false;
        }
        if (lastEventId > 0 && id.getAsLong() != lastEventId + 1) {
            gap = true;
            return false;
        }
        lastEventId = id.getAsLong();
        return true;
    }

    private OptionalLong id(int start, int end) {
        String event = new String(pending, start, end - start, StandardCharsets.ISO_8859_1);
        for (String line : event.split("\n")) {
            if (line.startsWith(ID_FIELD)) {
                String value = line.substring(ID_FIELD.length()).trim();
                return parseId(value);
            }
        }
        invalid |= !event.lines().allMatch(EventReader::isFieldOfEventWithoutId);
        return OptionalLong.empty();
    }

    private static boolean isFieldOfEventWithoutId(String line) {
        int colon = line.indexOf(':');
        return OTHER_FIELDS.contains(colon < 0 ? line : line.substring(0, colon));
    }

    private OptionalLong parseId(String value) {
        if (value.isEmpty() || value.length() > MAX_ID_DIGITS || !value.chars().allMatch(Character::isDigit)) {
            invalid = true;
            return OptionalLong.empty();
        }
        return OptionalLong.of(Long.parseLong(value));
    }

    private void append(ByteBuf content) {
        int addedLength = content.readableBytes();
        if (length + addedLength > pending.length) {
            pending = Arrays.copyOf(pending, Math.max(2 * pending.length, length + addedLength));
        }
        content.getBytes(content.readerIndex(), pending, length, addedLength);
        length += addedLength;
    }

    private ByteBuf join(ByteBuf accepted, int from, int to) {
        ByteBuf event = Unpooled.copiedBuffer(pending, from, to - from);
        return accepted.isReadable() ? Unpooled.wrappedBuffer(accepted, event) : event;
    }
}
