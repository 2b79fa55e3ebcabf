package org.masticcroft.entry.order;

import java.util.Objects;

/**
 * Answer of an executed order.
 *
 * @param status HTTP status
 * @param contentType content type; may be empty
 * @param body the body; not modified
 */
public record StoredAnswer(int status, String contentType, byte[] body) {
    public StoredAnswer {
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
    }
}
