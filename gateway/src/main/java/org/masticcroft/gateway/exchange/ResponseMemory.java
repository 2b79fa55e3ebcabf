package org.masticcroft.gateway.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Bounds the memory for responses that are buffered until they are complete, over all requests of a process. Above the
 * bound, the longest response is given up, so that an upstream that sends bytes without end does not end the responses
 * of others. Used on the event loop only.
 */
public final class ResponseMemory {
    /** Fraction of the heap for buffered responses, as a divisor; a buffer may be twice as large as its content. */
    private static final int HEAP_DIVISOR = 8;

    private final long limitBytes;
    private final Set<Buffer> buffers = new LinkedHashSet<>();
    private long usedBytes;

    private ResponseMemory(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Creates a bound in proportion to the largest heap of this process. */
    public static ResponseMemory ofHeap() {
        return ofBytes(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
    }

    /** Creates a bound of the given number of bytes. */
    static ResponseMemory ofBytes(long limitBytes) {
        return new ResponseMemory(limitBytes);
    }

    /** Returns the number of bytes in all buffers. */
    public long usedBytes() {
        return usedBytes;
    }

    /**
     * Creates an empty buffer.
     *
     * @param onGivenUp called when the response is given up; its buffer is closed by then
     */
    Buffer newBuffer(Runnable onGivenUp) {
        return new Buffer(onGivenUp);
    }

    private void giveUpLongest() {
        Buffer longest =
                buffers.stream().max(Comparator.comparingInt(Buffer::length)).orElseThrow();
        longest.close();
        longest.onGivenUp.run();
    }

    /** The content of one response. */
    final class Buffer {
        private final Runnable onGivenUp;
        private ByteBuf content = Unpooled.EMPTY_BUFFER;
        private boolean closed;

        private Buffer(Runnable onGivenUp) {
            this.onGivenUp = onGivenUp;
        }

        int length() {
            return content.readableBytes();
        }

        /** Returns the content, which is valid until more is added or the buffer is closed. */
        ByteBuf content() {
            return content.asReadOnly();
        }

        /** Adds received bytes; has no effect once the buffer is closed. May give up a response, also this one. */
        void add(ByteBuf received) {
            if (closed || !received.isReadable()) {
                return;
            }
            if (content == Unpooled.EMPTY_BUFFER) {
                content = Unpooled.buffer(received.readableBytes());
                buffers.add(this);
            }
            int bytes = received.readableBytes();
            content.writeBytes(received, received.readerIndex(), bytes);
            usedBytes += bytes;
            while (usedBytes > limitBytes) {
                giveUpLongest();
            }
        }

        /** Returns the content and closes the buffer. */
        ByteBuf take() {
            ByteBuf taken = content;
            close();
            return taken;
        }

        /** Releases the memory. */
        void close() {
            if (!closed) {
                closed = true;
                usedBytes -= length();
                buffers.remove(this);
                content = Unpooled.EMPTY_BUFFER;
            }
        }
    }
}
