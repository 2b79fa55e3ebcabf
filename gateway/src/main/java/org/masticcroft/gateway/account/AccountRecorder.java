package org.masticcroft.gateway.account;

import java.util.Map;

/** Records the requests and changes that an entry accounts for. Recording does not block. */
public interface AccountRecorder extends AutoCloseable {
    /** Records a request that has ended. */
    void recordRequest(FinishedRequest request);

    /**
     * Records a change that took effect at the entry.
     *
     * @param kind kind of the change, for example {@code config-applied}
     * @param details values that describe the change, by name
     */
    void recordChange(String kind, Map<String, String> details);

    /** Writes the buffered records as far as the store accepts them. May block until the store responds. */
    @Override
    void close();

    /** Returns a recorder that discards everything. */
    static AccountRecorder none() {
        return new AccountRecorder() {
            @Override
            public void recordRequest(FinishedRequest request) {}

            @Override
            public void recordChange(String kind, Map<String, String> details) {}

            @Override
            public void close() {}
        };
    }
}
