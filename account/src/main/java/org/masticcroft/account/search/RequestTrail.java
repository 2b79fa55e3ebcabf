package org.masticcroft.account.search;

import java.util.List;
import java.util.Optional;
import org.masticcroft.account.record.DispatchRecord;
import org.masticcroft.account.record.RequestRecord;

/**
 * All records of one request in the account.
 *
 * @param request the entry's record; empty if the account does not contain it
 * @param dispatches the sidecars' records, ordered by attempt
 */
public record RequestTrail(Optional<RequestRecord> request, List<DispatchRecord> dispatches) {
    /** Copies the list. */
    public RequestTrail {
        dispatches = List.copyOf(dispatches);
    }

    /** Returns whether the account contains no record of the request. */
    public boolean isEmpty() {
        return request.isEmpty() && dispatches.isEmpty();
    }
}
