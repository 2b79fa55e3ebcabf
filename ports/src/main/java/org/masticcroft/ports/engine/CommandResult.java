package org.masticcroft.ports.engine;

/** Result of a command that the engine responded to. */
public enum CommandResult {
    DONE,
    /** The engine has seen a higher fencing token. */
    FENCE_REJECTED,
    /** Chunks are missing in the staging area, or do not match the digest list. */
    INCOMPLETE,
    OUT_OF_MEMORY,
    /** The engine refused for another reason. */
    REFUSED
}
