package org.masticcroft.kernel.event;

/** Numbered log events. {@code docs/EVENTS.md} lists them for operators; numbers are never reused. */
public enum Event {
    PROCESS_STARTED(1000, "The process has started and lists its role and addresses."),
    PROCESS_DRAINING(1001, "The process received SIGTERM and finishes the work in progress."),
    PROCESS_STOPPED(1002, "The process has finished its work and exits."),
    SETTINGS_RELOADED(1003, "The process was told that its settings file changed; the effect is given."),
    READINESS_CHANGED(1004, "The entry asks for new connections, or no longer does; the reasons are given."),
    MACHINE_SUSPENDED(1005, "The wall clock ran ahead of the monotonic clock; what was confirmed before is void."),
    LOG_LINES_DROPPED(1006, "Log lines did not fit into the queue of the log; their number is given."),
    INPUT_LATE(1007, "The event loop handled input late; the longest wait since the last report is given."),
    REQUESTS_OVER_BUDGET(1008, "Arriving requests were refused because their memory was used up; the number is given."),
    UNREAD_RESPONSES_OVER_BUDGET(1009, "Connections were closed because callers did not read; the number is given."),
    CONNECTIONS_OVER_BUDGET(1010, "Unused connections were closed because there were too many; the number is given."),
    BODIES_STALLED(1011, "Requests were refused because their bodies stopped arriving; the number is given."),
    CONFIG_APPLIED(1100, "A configuration version took effect in this process."),
    CONFIG_UNCONFIRMED(1101, "The log could not be read for longer than the confirmation bound."),
    CONFIG_CONFIRMED(1102, "The configuration was confirmed against the log again."),
    CONFIG_RECORD_IGNORED(1103, "A record of the configuration stream has no effect; the reason is given."),
    CONFIG_SNAPSHOT_APPENDED(1104, "A snapshot of the configuration was re-published before retention."),
    WEIGHTS_NAMED(1105, "The operator named a new version of the weights of a model."),
    EVACUATION_REQUESTED(1106, "The operator requested that nothing more be sent to a data centre."),
    EVACUATION_REVOKED(
            1107, "The operator revoked the evacuation of a data centre; its upstreams are refilled gradually."),
    STORE_RESTORED(1108, "The store came back from an older copy; the directory that is read in full is given."),
    LISTING_OUTDATED(1109, "A listing of an upstream has no effect because a newer one is known."),
    EVACUATION_DEFERRED(
            1110,
            "A request for an evacuation may predate its revocation; it takes effect unless it is revoked again."),
    ROUTING_DECISION(1200, "An upstream was chosen for a request; candidates and reason are given."),
    REQUEST_REFUSED(1201, "A request was refused before any upstream executed it."),
    REQUEST_FINISHED(1202, "A request ended; verdict, attempts and durations are given."),
    ATTEMPT_FAILED(
            1203,
            "An attempt on an upstream failed; verdict, code and its times until it was sent and failed are given."),
    ADMISSION_DECISION(1204, "A request was queued or refused by the admission queue."),
    CLAIM_DECIDED(1205, "The claim of an idempotency key was decided."),
    BREAKER_CHANGED(1206, "The circuit breaker of an upstream changed its state."),
    REQUEST_QUARANTINED(1207, "A request was quarantined because upstreams crashed while they ran it."),
    PREEMPTION_DECISION(1208, "A running request was preempted by one of a more urgent rank."),
    PROMPT_PARTS_QUARANTINED(1209, "Parts of prompts that upstreams crash on; all that are quarantined are given."),
    QUARANTINE_TRIAL(1210, "A request with a quarantined part of a prompt is sent, to learn whether it is harmless."),
    UPSTREAM_ROUTABLE(
            1220, "An upstream reports weights as ready, or a plain service as serving; new work may go to it."),
    UPSTREAM_NOT_ROUTABLE(1221, "An upstream receives no new work any more; the reason is given."),
    CLAIMS_UNCERTAIN(1222, "The response to an append of claims was lost; the batch is looked for in the stream."),
    CLAIMS_REFUSED(1223, "The log refused a batch of claims; the orders are refused as not run."),
    SUSPECT_MARKED(1224, "An upstream crashed while it ran a request; the marks of the request are given."),
    PLUGIN_SUBSTITUTED(1225, "The configured plug-in is missing; the one in use instead is given."),
    STREAM_RESUMED(1226, "A stream continues on another upstream; the token position is given."),
    REPLY_REJECTED(1227, "A reply of a sidecar does not belong to the open attempt, is out of order or incomplete."),
    UPSTREAM_PAUSED(1228, "An upstream wants no requests from this process for a time, which is given."),
    UPSTREAM_COLD(
            1229, "An upstream is cold and gets few requests; the cause and the stated number of entries are given."),
    UPSTREAM_WARM(1230, "An upstream is no longer cold."),
    ENGINE_MEMORY_FULL(1231, "The memory of an engine has no room for a request; the tokens are given, once a second."),
    HEDGE_SENT(1232, "A request without a first byte was sent to a second upstream; delay and prediction are given."),
    HEDGE_DECIDED(
            1233, "One of two open attempts won; its upstream and the one whose attempt was cancelled are given."),
    HEDGE_REFUSED(1234, "A hedge was due and not sent because a budget is spent; the budget is given."),
    LEASE_ACQUIRED(1300, "The sidecar holds the newest lease of its upstream; the fencing number is given."),
    LEASE_SUPERSEDED(1301, "A newer lease exists; the sidecar gives no further orders."),
    PLACEMENT_DECISION(1302, "A version is to be fetched, loaded or unloaded on an upstream."),
    ENGINE_ORDER(1303, "An order was given to an engine; its result and the age of the oldest read-back are given."),
    ENGINE_READY(1304, "The engine reports exactly the configured weights digest as loaded."),
    ENGINE_NOT_READY(1305, "The engine does not serve the configured weights digest any more."),
    LOAD_TURN(1306, "Complete weights are loaded now, or the engine goes on serving while others load; inputs given."),
    LOAD_CONFIRMED(
            1307, "The staged pieces were sound after the engine accepted the order, so it has loaded sound weights."),
    LOAD_UNSOUND(1308, "Loaded layers may be unsound and are loaded again; the bad pieces or the reason are given."),
    DISPATCH_REFUSED(1310, "A dispatch was refused before the upstream executed it; the code is given."),
    DISPATCH_FINISHED(1311, "A dispatch ended; verdict, code and byte count are given."),
    DISPATCH_DUPLICATE(1312, "A dispatch repeats a request id and attempt and was not run again."),
    UPSTREAM_CRASHED(1313, "The upstream process ended or restarted while it ran a request."),
    ENGINE_RESTARTED(1314, "The engine reports a new incarnation; its weights are read again."),
    LEASE_UNAVAILABLE(1315, "The lease could not be appended or checked; no commands are given until it can."),
    LEAVING_NOTICE_SENT(1316, "The entries of the instance list were told that this upstream is leaving."),
    FETCH_DECISION(1400, "A source was chosen for a chunk."),
    CHUNK_REJECTED(1401, "A chunk failed verification and was dropped."),
    ROLLOUT_FINISHED(1402, "All chunks of a weights digest are verified and staged."),
    STAGED_PIECES_READ(1403, "The staged pieces of the loaded weights were read, to hand them to other sidecars."),
    FETCH_STARTED(1420, "The sidecar began to fetch weights; chunks already staged are given."),
    FETCH_ABANDONED(1421, "A fetch ended before it was complete; the reason is given."),
    SOURCE_SET_BACK(1422, "A source of chunks is avoided for a time; the reason is given."),
    MANIFEST_UNAVAILABLE(1423, "No source returned a manifest with the configured digest."),
    ACCOUNT_FLUSHED(1500, "A batch of audit records was appended to the log."),
    ACCOUNT_FLUSH_FAILED(1501, "A batch of audit records could not be appended and stays buffered."),
    ACCOUNT_GAP(1502, "Audit records were dropped at the buffer bound; the gap is recorded."),
    PEER_UNREACHABLE(1600, "A peer process could not be reached."),
    LOG_UNAVAILABLE(1601, "The log service did not answer or refused."),
    INSTANCE_LIST_UNAVAILABLE(1602, "The instance list could not be read; the last one stays in use."),
    STORE_LOST(1603, "The platform's store did not answer a read or refused it; the reason is given."),
    STORE_REGAINED(1604, "The platform's store answers again."),
    DIRECTORY_EXPIRED(1605, "The records to continue from are deleted; the directory is read as a whole."),
    DATAGRAM_UNREADABLE(1606, "A datagram could not be decoded and was dropped."),
    DATAGRAMS_SENT(
            1607, "The process sent many bytes in datagrams within a second; the bytes of each content are given."),
    INTERNAL_ERROR(1900, "An unexpected error was handled; its stack trace is attached.");

    private final int number;
    private final String description;

    Event(int number, String description) {
        this.number = number;
        this.description = description;
    }

    public int number() {
        return number;
    }

    public String description() {
        return description;
    }
}
