package org.masticcroft.gateway.fleet;

import java.time.Duration;
import java.util.function.Consumer;

/** The platform's store as the gateway uses it. Replies arrive on the event loop. */
public interface FleetStore {
    /** Reads the newest record of every key of a directory. */
    void readAll(Directory directory, Consumer<DirectoryReply> reply);

    /**
     * Reads the records from an offset on.
     *
     * @param directory the log
     * @param from first offset wanted
     * @param wait how long the store may wait for a first record
     * @param reply receives the records; an empty list states that there was none when the wait ended
     */
    void readFrom(Directory directory, long from, Duration wait, Consumer<DirectoryReply> reply);

    /**
     * Keeps a record of the account under a key of its own.
     *
     * @param key key of the record, unique for each batch
     * @param data the record
     * @param reply receives true if the store acknowledged the record
     */
    void appendAccountRecord(String key, byte[] data, Consumer<Boolean> reply);

    /** Reads all records of the account in the order in which they were kept. */
    void readAccountRecords(Consumer<AccountRecords> reply);
}
