package org.masticcroft.account.search;

import java.util.List;
import java.util.Optional;
import org.masticcroft.account.record.DispatchRecord;
import org.masticcroft.account.record.RequestRecord;

/**
 * Everything that the account holds about one request.
 *
 * @param request the entry's record, if it is in the account
 * @param dispatches the sidecars' records, in order of attempt
 */
public record RequestTrail(Optional<RequestRecord> request, List<DispatchRecord> dispatches) {
    /** Copies the list. */
    public RequestTrail {
        dispatches = List.copyOf(dispatches);
    }

    /** Returns whether the account holds nothing about the request. */
    public boolean isEmpty() {
        return request.isEmpty() && dispatches.isEmpty();
    }
}
