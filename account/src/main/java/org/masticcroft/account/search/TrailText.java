package org.masticcroft.account.search;

import java.util.StringJoiner;
import org.masticcroft.account.record.DispatchRecord;
import org.masticcroft.account.record.RequestRecord;

/** Renders the trail of a request as human-readable text. */
public final class TrailText {
    private static final String NONE = "-";

    private TrailText() {}

    /** Returns the trail as lines of text. */
    public static String of(RequestTrail trail) {
        StringJoiner out = new StringJoiner("\n");
        trail.request()
                .ifPresentOrElse(
                        request -> addRequest(out, request),
                        () -> out.add("entry record  missing; what follows is the evidence of the sidecars"));
        trail.dispatches().forEach(dispatch -> addDispatch(out, dispatch));
        return out.toString();
    }

    private static void addRequest(StringJoiner out, RequestRecord request) {
        out.add("request       " + request.requestId());
        out.add("customer      " + request.customer() + ", rank " + request.rank());
        out.add("target        " + request.target());
        out.add("time          " + request.arrival() + " to " + request.end() + " (clock uncertainty "
                + request.clockUncertaintyMillis() + " ms)");
        out.add("model         " + request.model().orElse(NONE) + ", version "
                + request.version().orElse(NONE)
                + request.adapter().map(adapter -> ", adapter " + adapter).orElse(""));
        out.add("weights       " + request.weightsDigest().orElse(NONE) + " (as the engine reported)");
        out.add("upstream      " + request.upstream().orElse(NONE));
        out.add("configuration version " + request.configVersion() + ", confirmed " + request.configAgeMillis()
                + " ms before");
        out.add("result        " + request.verdict() + ", HTTP " + request.httpStatus()
                + request.errorCode().map(code -> ", " + code).orElse(""));
        out.add("digests       request " + request.requestDigest() + ", answer "
                + request.answerDigest().orElse(NONE));
        request.attempts().forEach(attempt -> addAttempt(out, attempt));
    }

    private static void addAttempt(StringJoiner out, RequestRecord.Attempt attempt) {
        out.add("attempt " + attempt.number() + "     " + attempt.upstream() + " because " + attempt.reason()
                + " among "
                + attempt.candidates() + " candidates " + attempt.candidateNames() + ": " + attempt.verdict()
                + attempt.errorCode().map(code -> ", " + code).orElse(""));
    }

    private static void addDispatch(StringJoiner out, DispatchRecord dispatch) {
        out.add("evidence " + dispatch.attempt() + "    " + dispatch.upstream() + " for " + dispatch.entry() + ", "
                + dispatch.start() + " to " + dispatch.end() + ": " + dispatch.verdict()
                + dispatch.errorCode().map(code -> ", " + code).orElse("") + ", weights "
                + dispatch.weightsDigest().orElse(NONE) + ", answer "
                + dispatch.answerDigest().orElse(NONE));
    }
}
