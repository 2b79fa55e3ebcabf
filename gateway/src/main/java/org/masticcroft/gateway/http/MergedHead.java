package org.masticcroft.gateway.http;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Recognizes the head of a response that a server truncated in the middle of a line, and that the head of its next
 * response completes. Only the status line of the second one shows it, at the end of a header value or of the reason.
 */
final class MergedHead {
    private static final String STATUS_LINE_START = "HTTP/1.";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] \\d{3}(?: |$)");

    private MergedHead() {}

    /** Returns whether a head was merged from two. */
    static boolean isMerged(HttpResponse head) {
        if (containsStatusLine(head.status().reasonPhrase())) {
            return true;
        }
        for (Map.Entry<String, String> header : head.headers()) {
            if (containsStatusLine(header.getValue())) {
                return true;
            }
        }
        return false;
    }

    private static boolean containsStatusLine(String text) {
        return text.contains(STATUS_LINE_START) && STATUS_LINE.matcher(text).find();
    }
}
