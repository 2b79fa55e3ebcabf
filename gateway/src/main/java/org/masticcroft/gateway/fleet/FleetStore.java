package org.masticcroft.gateway.fleet;

import java.time.Duration;
import java.util.function.Consumer;

/** Client of the platform's store. Each call receives exactly one reply, on the event loop. */
public interface FleetStore {
    /** Returns the era of the store, as the responses to all calls of this process state it. */
    StoreEra era();

    /** Reads the newest record of each key of a directory. */
    void readAll(Directory directory, Consumer<DirectoryReply> reply);

    /**
     * Reads the newest record of each key of the operator's directory but that of the configuration, which is by far
     * the largest.
     */
    void readOperatorWithoutConfig(Consumer<DirectoryReply> reply);

    /**
     * Reads the records from an offset on.
     *
     * @param directory the directory to read
     * @param fromOffset offset of the first record to read
     * @param maxWait maximum time that the store may wait for the first record
     * @param reply receives the records; the list is empty if none arrived within that time
     */
    void readFrom(Directory directory, long fromOffset, Duration maxWait, Consumer<DirectoryReply> reply);

    /**
     * Appends a record of the account under its own key.
     *
     * @param key key of the record, unique for each batch
     * @param data the record
     * @param reply receives true if the store acknowledged the record
     */
    void appendAccountRecord(String key, byte[] data, Consumer<Boolean> reply);

    /** Reads all records of the account in the order in which they were appended. */
    void readAccountRecords(Consumer<AccountRecords> reply);
}
