package org.masticcroft.sidecar.dispatch;

import java.io.ByteArrayOutputStream;

/**
 * Filter for a response of unknown format. Only the HTTP framing shows whether such a response is complete. The first
 * bytes are buffered, so that an incomplete short response does not reach the caller and an idempotent request can be
 * retried.
 */
final class PlainResponseFilter implements ResponseFilter {
    static final int MAX_BUFFERED_BYTES = 256 << 10;

    private final ByteArrayOutputStream buffered = new ByteArrayOutputStream();
    private boolean forwarding;

    @Override
    public void accept(byte[] data, int length, ByteArrayOutputStream output) {
        buffered.write(data, 0, length);
        if (forwarding || buffered.size() > MAX_BUFFERED_BYTES) {
            forwarding = true;
            flush(output);
        }
    }

    @Override
    public void end(ByteArrayOutputStream output) {
        flush(output);
    }

    private void flush(ByteArrayOutputStream output) {
        output.writeBytes(buffered.toByteArray());
        buffered.reset();
    }
}
