package org.masticcroft.sidecar.dispatch;

import java.io.ByteArrayOutputStream;

/**
 * Response without a known format; the framing of HTTP alone shows whether it is complete. The first bytes are held
 * back, so that a short response that breaks off has not reached the caller and can be retried if it is idempotent.
 */
final class PlainAnswer implements Answer {
    static final int HELD_BACK_BYTES = 256 << 10;

    private final ByteArrayOutputStream heldBack = new ByteArrayOutputStream();
    private boolean passing;

    @Override
    public void accept(byte[] data, int length, ByteArrayOutputStream passOn) {
        heldBack.write(data, 0, length);
        if (passing || heldBack.size() > HELD_BACK_BYTES) {
            passing = true;
            release(passOn);
        }
    }

    @Override
    public void end(ByteArrayOutputStream passOn) {
        release(passOn);
    }

    private void release(ByteArrayOutputStream passOn) {
        passOn.writeBytes(heldBack.toByteArray());
        heldBack.reset();
    }
}
