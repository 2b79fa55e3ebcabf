package org.masticcroft.harness.check;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.masticcroft.harness.history.History;
import org.masticcroft.harness.history.Kind;
import org.masticcroft.harness.history.Mark;
import org.masticcroft.harness.history.Request;
import org.masticcroft.harness.ledger.Execution;

/** The input of the checks: a history and the executions, correlated by request id, idempotency key and content. */
public final class Evidence {
    /** The request id of an attempt may be the request id given to the caller, a separator and the attempt's number. */
    private static final Pattern ATTEMPT_SUFFIX = Pattern.compile("[-./#:]\\d+$");

    private static final Pattern TOKEN_IN_PATH = Pattern.compile("[?&]q=([^&]+)");

    private final History history;
    private final List<Execution> executions;
    private final Map<String, List<Execution>> byRequestId = new HashMap<>();
    private final Map<String, List<Execution>> byIdempotencyKey = new HashMap<>();
    private final Map<String, List<Execution>> byContent = new HashMap<>();

    private Evidence(History history, List<Execution> executions) {
        this.history = history;
        this.executions = List.copyOf(executions);
        executions.forEach(this::index);
    }

    /** Correlates a history with executions. */
    public static Evidence of(History history, List<Execution> executions) {
        return new Evidence(history, executions);
    }

    /** Returns all requests. */
    public List<Request> requests() {
        return history.requests();
    }

    /** Returns the marks in the order of their times. */
    public List<Mark> marks() {
        return history.marks().stream()
                .sorted(Comparator.comparingLong(Mark::timeMs))
                .toList();
    }

    /** Returns all executions. */
    public List<Execution> executions() {
        return executions;
    }

    /** Returns the executions of a request and of its re-sent copies, which have the same content. */
    public List<Execution> executions(Request request) {
        Set<Execution> found = new LinkedHashSet<>();
        request.outcome().ifPresent(outcome -> found.addAll(executionsByRequestId(outcome.requestId())));
        found.addAll(lookUp(byIdempotencyKey, request.invoke().idempotencyKey()));
        found.addAll(lookUp(byContent, contentKey(request)));
        return List.copyOf(found);
    }

    /** Returns the executions with a request id assigned by an entry, including those of its attempts. */
    public List<Execution> executionsByRequestId(String requestId) {
        return lookUp(byRequestId, requestId);
    }

    /** Returns all requests grouped by their token, which a request shares with its re-sent copies. */
    public Map<String, List<Request>> requestsByToken() {
        Map<String, List<Request>> byToken = new LinkedHashMap<>();
        for (Request request : requests()) {
            String token = request.invoke().token().isEmpty()
                    ? request.id()
                    : request.invoke().token();
            byToken.computeIfAbsent(token, key -> new ArrayList<>()).add(request);
        }
        return byToken;
    }

    private void index(Execution execution) {
        addTo(byRequestId, execution.requestId(), execution);
        Matcher suffix = ATTEMPT_SUFFIX.matcher(execution.requestId());
        if (suffix.find()) {
            addTo(byRequestId, execution.requestId().substring(0, suffix.start()), execution);
        }
        addTo(byIdempotencyKey, execution.idempotencyKey(), execution);
        addTo(byContent, contentKey(execution), execution);
    }

    private static String contentKey(Request request) {
        return request.invoke().kind() == Kind.CHAT
                ? key("prompt", request.invoke().promptSha256())
                : request.invoke().kind() == Kind.READ
                        ? key("token", request.invoke().token())
                        : key("body", request.invoke().bodySha256());
    }

    private static String contentKey(Execution execution) {
        if (execution.isCompletion()) {
            return key("prompt", execution.promptSha256());
        }
        Matcher token = TOKEN_IN_PATH.matcher(execution.path());
        return token.find() ? key("token", token.group(1)) : key("body", execution.bodySha256());
    }

    private static String key(String kind, String text) {
        return text.isEmpty() ? "" : kind + ":" + text;
    }

    private static void addTo(Map<String, List<Execution>> index, String key, Execution execution) {
        if (!key.isEmpty()) {
            index.computeIfAbsent(key, ignored -> new ArrayList<>()).add(execution);
        }
    }

    private static List<Execution> lookUp(Map<String, List<Execution>> index, String key) {
        return key.isEmpty() ? List.of() : List.copyOf(index.getOrDefault(key, List.of()));
    }
}
