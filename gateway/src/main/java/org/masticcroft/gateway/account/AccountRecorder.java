package org.masticcroft.gateway.account;

import java.util.Map;

/** Takes what an entry has to account for. Calls return at once. */
public interface AccountRecorder extends AutoCloseable {
    /** Records a request that has ended. */
    void ended(AccountedRequest request);

    /** Records a change that the entry saw or made. */
    void changed(String kind, Map<String, String> details);

    /** Writes what is buffered, as far as the store takes it; may wait for the store. */
    @Override
    void close();

    /** Returns an account that keeps nothing. */
    static AccountRecorder none() {
        return new AccountRecorder() {
            @Override
            public void ended(AccountedRequest request) {}

            @Override
            public void changed(String kind, Map<String, String> details) {}

            @Override
            public void close() {}
        };
    }
}
