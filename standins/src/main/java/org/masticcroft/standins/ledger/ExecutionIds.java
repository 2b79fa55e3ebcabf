package org.masticcroft.standins.ledger;

import java.util.UUID;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Generates execution ids that are unique across restarts. The id distinguishes two executions of one request and is
 * shared by the start entry and the end entry of an execution.
 */
public final class ExecutionIds {
    private final String prefix;
    private final AtomicLong next = new AtomicLong();

    private ExecutionIds(String prefix) {
        this.prefix = prefix;
    }

    /** Creates a generator for one process. */
    public static ExecutionIds of(String source) {
        return new ExecutionIds(source + "/" + UUID.randomUUID() + "/");
    }

    /** Returns a new id. */
    public String next() {
        return prefix + next.getAndIncrement();
    }
}
