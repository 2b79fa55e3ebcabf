package org.masticcroft.gateway.exchange;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/**
 * Recognizes a body that an upstream may have truncated, and that the head of its next response completes. Only the
 * status line of that response shows it, in the body or at its end.
 */
final class MergedBody {
    private static final String STATUS_LINE_START = "HTTP/1.";

    private MergedBody() {}

    /** Returns whether a body contains the start of a status line or ends inside one. */
    static boolean isPossible(ByteBuf body) {
        String text = body.toString(StandardCharsets.ISO_8859_1);
        if (text.contains(STATUS_LINE_START)) {
            return true;
        }
        for (int length = 1; length < STATUS_LINE_START.length(); length++) {
            if (text.endsWith(STATUS_LINE_START.substring(0, length))) {
                return true;
            }
        }
        return false;
    }
}
