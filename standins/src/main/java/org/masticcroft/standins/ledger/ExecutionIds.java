package org.masticcroft.standins.ledger;

import java.util.UUID;
import java.util.concurrent.atomic.AtomicLong;

/** Ids of executions, unique over restarts, which tell two runs of one request apart and join start and end of each. */
public final class ExecutionIds {
    private final String prefix;
    private final AtomicLong next = new AtomicLong();

    private ExecutionIds(String prefix) {
        this.prefix = prefix;
    }

    /** Creates the ids of one process. */
    public static ExecutionIds of(String source) {
        return new ExecutionIds(source + "/" + UUID.randomUUID() + "/");
    }

    /** Returns a new id. */
    public String next() {
        return prefix + next.getAndIncrement();
    }
}
