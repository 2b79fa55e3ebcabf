package org.masticcroft.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import java.time.Duration;
import java.util.Arrays;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * A request that is being read. The body is copied into one array that grows, because the buffers of many small chunks
 * use far more memory than their content. Used on the event loop only.
 */
final class ArrivingRequest {
    private static final byte[] EMPTY = {};

    /** Body bytes that are read without a claim; most bodies are not larger. */
    private static final int UNCLAIMED_BODY_BYTES = 8192;

    /** Size of the first array, unless the announced length is smaller. */
    private static final int INITIAL_BYTES = 4096;

    /** Memory of a request without its headers and body: objects of the connection, the decoder and the exchange. */
    private static final int REQUEST_COST_BYTES = 2048;

    /** Memory of a header without its text: an entry and two strings with an array each. */
    private static final int HEADER_COST_BYTES = 160;

    /** Memory per byte of a head that is not complete: the shortest header lines use that much. */
    private static final int HEAD_COST_FACTOR = 32;

    private final RequestMemory.Reservation memory;
    private final int maxBodyBytes;
    private final boolean keepsBody;
    private HttpRequest head;
    private long headCostBytes;
    private byte[] body = EMPTY;
    private int length;

    /**
     * Creates a request of which nothing was read.
     *
     * @param memory memory of the request
     * @param maxBodyBytes largest body that is accepted
     * @param keepsBody whether the body is needed; otherwise it is only counted
     */
    ArrivingRequest(RequestMemory.Reservation memory, int maxBodyBytes, boolean keepsBody) {
        this.memory = memory;
        this.maxBodyBytes = maxBodyBytes;
        this.keepsBody = keepsBody;
    }

    HttpRequest head() {
        return head;
    }

    /** Returns the number of body bytes read so far. */
    int length() {
        return length;
    }

    /** Accounts for a part of a head of the given size; returns false if the request was refused because of that. */
    boolean headPart(int headBytes) {
        return memory.resize(REQUEST_COST_BYTES + (long) headBytes * HEAD_COST_FACTOR);
    }

    /** Sets the head; returns false if the request was refused because of its size. */
    boolean headEnded(HttpRequest request) {
        head = request;
        headCostBytes = REQUEST_COST_BYTES + request.uri().length();
        for (Map.Entry<String, String> header : request.headers()) {
            headCostBytes += HEADER_COST_BYTES
                    + header.getKey().length()
                    + header.getValue().length();
        }
        return memory.resize(headCostBytes);
    }

    /**
     * Claims memory for the body, as far as its length is known.
     *
     * @param nowNanos monotonic time
     * @param waitEndNanos returns the monotonic time up to which the body may wait for the memory
     * @return whether the body may be read on; if not, the request waits for memory or was refused
     */
    boolean claimBody(long nowNanos, LongSupplier waitEndNanos) {
        long claimed = memory.claimedBytes() - headCostBytes;
        long announced = HttpUtil.getContentLength(head, -1L);
        long largest = announced < 0 ? maxBodyBytes : announced;
        // A body of unknown length claims more one read before its memory is full.
        long needed = announced < 0 ? Math.min(largest, length + HttpServer.MAX_READ_BYTES) : announced;
        boolean small = (announced < 0 ? length : announced) <= UNCLAIMED_BODY_BYTES;
        if (!keepsBody || small || needed <= claimed) {
            return true;
        }
        long wanted = Math.min(largest, announced < 0 ? 2 * needed : announced);
        return !memory.waiting()
                && memory.claim(headCostBytes + wanted, headCostBytes + largest, nowNanos, waitEndNanos);
    }

    /** Returns whether the body waits for memory. */
    boolean waiting() {
        return memory.waiting();
    }

    /** Measures the pace of the body from now on. */
    void startPace(long nowNanos) {
        memory.startPace(nowNanos);
    }

    /** Notes that a part of the body has arrived. */
    void arrived(int bytes, long nowNanos, Duration bodyTime) {
        memory.arrived(bytes, nowNanos, bodyTime);
    }

    /** Adds a part of the body, which must not exceed the limit; returns false if the request was refused. */
    boolean add(ByteBuf content) {
        int newLength = length + content.readableBytes();
        if (!keepsBody) {
            length = newLength;
            return true;
        }
        if (newLength > body.length) {
            int capacity = capacity(newLength);
            if (!memory.resize(headCostBytes + capacity)) {
                return false;
            }
            body = Arrays.copyOf(body, capacity);
        }
        content.getBytes(content.readerIndex(), body, length, content.readableBytes());
        length = newLength;
        return true;
    }

    private int capacity(int needed) {
        long claimed = memory.claimedBytes() - headCostBytes;
        if (claimed >= needed) {
            return (int) claimed;
        }
        long announced = HttpUtil.getContentLength(head, (long) maxBodyBytes);
        int limit = (int) Math.max(needed, Math.min(announced, maxBodyBytes));
        return Math.min(limit, Math.max(Math.max(INITIAL_BYTES, needed), 2 * body.length));
    }

    /** Returns the complete body. The memory stays reserved until it is released. */
    byte[] complete() {
        byte[] complete = length == body.length || !keepsBody ? body : Arrays.copyOf(body, length);
        body = EMPTY;
        memory.complete(headCostBytes + complete.length);
        return complete;
    }

    /** Releases the memory of the request. */
    void release() {
        body = EMPTY;
        memory.release();
    }
}
