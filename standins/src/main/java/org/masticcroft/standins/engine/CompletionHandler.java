package org.masticcroft.standins.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.masticcroft.standins.fault.Faults;
import org.masticcroft.standins.http.Call;
import org.masticcroft.standins.http.HttpFailure;
import org.masticcroft.standins.http.Json;
import org.masticcroft.standins.ledger.ExecutionIds;
import org.masticcroft.standins.ledger.LedgerWriter;

/** Executes completions. Each one occupies a thread, which sleeps for the time that generating its tokens takes. */
final class CompletionHandler {
    /** Fraction of the time to the first token that a fully cached prompt saves. */
    private static final double CACHED_PROMPT_SAVING = 0.9;

    private static final long HANG_CHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final int CRASH_EXIT_CODE = 134;

    private final EngineSettings settings;
    private final String incarnation;
    private final Faults faults;
    private final WeightsMemory memory;
    private final SlotQueue slots;
    private final PrefixCache cache;
    private final RunningRequests requests;
    private final LedgerWriter ledger;
    private final ExecutionIds executionIds;
    private final AtomicLong overloads = new AtomicLong();
    private final AtomicLong tokensProduced = new AtomicLong();
    private final AtomicLong cachedTokens = new AtomicLong();

    private CompletionHandler(
            EngineSettings settings,
            String incarnation,
            Faults faults,
            WeightsMemory memory,
            SlotQueue slots,
            PrefixCache cache,
            RunningRequests requests,
            LedgerWriter ledger) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.faults = faults;
        this.memory = memory;
        this.slots = slots;
        this.cache = cache;
        this.requests = requests;
        this.ledger = ledger;
        this.executionIds = ExecutionIds.of(settings.id());
    }

    static CompletionHandler of(
            EngineSettings settings,
            String incarnation,
            Faults faults,
            WeightsMemory memory,
            SlotQueue slots,
            PrefixCache cache,
            RunningRequests requests,
            LedgerWriter ledger) {
        return new CompletionHandler(settings, incarnation, faults, memory, slots, cache, requests, ledger);
    }

    /** Adds the counters of all completions to {@code GET /stats}. */
    void addStats(ObjectNode stats) {
        stats.put("overloads", overloads.get())
                .put("tokens", tokensProduced.get())
                .put("cached_prompt_tokens", cachedTokens.get())
                .put("ledger_failures", ledger.failures());
    }

    /** Handles {@code POST /v1/chat/completions}. */
    void complete(Call call) throws IOException, InterruptedException {
        Completion completion = Completion.parse(call.jsonBody(), settings.defaultTokens());
        if (faults.isOn("overload")) {
            throw HttpFailure.of(503, "overloaded", "overloaded because the fault switch \"overload\" is on");
        }
        checkLoaded(completion);
        CancelSignal signal = requests.add(completion.requestId());
        try {
            SlotQueue.Result result = slots.acquire(completion.priority(), signal);
            if (result == SlotQueue.Result.OVERLOADED) {
                overloads.incrementAndGet();
                throw HttpFailure.of(503, "overloaded", "all slots and the queue are full");
            }
            if (result == SlotQueue.Result.CANCELLED) {
                throw HttpFailure.of(499, "cancelled_before_start", "cancelled while queued");
            }
            executeInSlot(call, completion, signal);
        } finally {
            requests.remove(completion.requestId(), signal);
        }
    }

    private void executeInSlot(Call call, Completion completion, CancelSignal signal)
            throws IOException, InterruptedException {
        try {
            // The weights may have been unloaded while the request was queued.
            checkLoaded(completion);
            call.setHeader("X-Weights-Digest", completion.weights());
            execute(call, completion, signal);
        } finally {
            slots.release();
        }
    }

    private void checkLoaded(Completion completion) {
        if (!memory.isLoaded(completion.weights())) {
            throw HttpFailure.of(409, "weights_not_loaded", "weights are not loaded: " + completion.weights());
        }
    }

    private void execute(Call call, Completion completion, CancelSignal signal)
            throws IOException, InterruptedException {
        ObjectNode entry = newEntry(completion);
        ledger.sendToCollector(entry.deepCopy().put("event", "start"));
        List<String> keys = PrefixCache.keys(completion.weights(), completion.prompt());
        int cachedBlocks = cache.lookUpAndStore(keys);
        int cachedTokenCount = cachedBlocks * PrefixCache.BLOCK_CHARACTERS / 4;
        cachedTokens.addAndGet(cachedTokenCount);
        CompletionSink sink = CompletionSink.of(call, completion);
        Generation generation = new Generation(
                completion, entry, signal, sink, keys.isEmpty() ? 0 : (double) cachedBlocks / keys.size());
        String outcome = "cancelled";
        try {
            outcome = generation.run() ? "completed" : "cancelled";
        } finally {
            // Written before the response ends, so that a caller never sees an answer that the ledger lacks.
            recordEnd(entry, outcome, generation.produced);
        }
        if (faults.consume("drop_next_ends")) {
            call.drop();
        } else {
            sink.end(outcome, generation.produced, cachedTokenCount);
        }
    }

    private ObjectNode newEntry(Completion completion) {
        return Json.object()
                .put("kind", "engine")
                .put("source", settings.id())
                .put("execution", executionIds.next())
                .put("incarnation", incarnation)
                .put("request_id", completion.requestId())
                .put("model", completion.model())
                .put("weights_digest", completion.weights())
                .put("prompt_sha256", completion.promptSha256())
                .put("priority", completion.priority())
                .put("resume_from", completion.resumeFrom())
                .put("start_ms", System.currentTimeMillis());
    }

    private void recordEnd(ObjectNode entry, String outcome, int produced) throws InterruptedException {
        tokensProduced.addAndGet(produced);
        ledger.writeEnd(entry.put("event", "end")
                .put("end_ms", System.currentTimeMillis())
                .put("tokens", produced)
                .put("outcome", outcome));
    }

    /** The generation of one answer, token by token. */
    private final class Generation {
        private final Completion completion;
        private final ObjectNode entry;
        private final CancelSignal signal;
        private final CompletionSink sink;
        private final double cachedFraction;
        private int produced;

        private Generation(
                Completion completion,
                ObjectNode entry,
                CancelSignal signal,
                CompletionSink sink,
                double cachedFraction) {
            this.completion = completion;
            this.entry = entry;
            this.signal = signal;
            this.sink = sink;
            this.cachedFraction = cachedFraction;
        }

        /** Produces all tokens; returns false if the request was cancelled before the last one. */
        private boolean run() throws IOException, InterruptedException {
            AnswerText answer = AnswerText.of(completion.promptSha256(), completion.weights(), completion.tokens());
            long dueNanos = System.nanoTime() + firstTokenNanos();
            for (int index = completion.resumeFrom(); index < answer.length(); index++) {
                if (signal.awaitUntil(dueNanos) || !awaitHangEnd()) {
                    return false;
                }
                crashIfDue();
                if (faults.number("drop_after_tokens") > 0 && produced >= faults.number("drop_after_tokens")) {
                    throw new IOException("connection dropped by the fault switch drop_after_tokens");
                }
                sink.token(answer.token(index));
                produced++;
                dueNanos = Math.max(dueNanos, System.nanoTime() - tokenNanos()) + tokenNanos();
            }
            crashIfDue();
            return true;
        }

        private boolean awaitHangEnd() throws InterruptedException {
            while (faults.isOn("hang")) {
                if (signal.awaitUntil(System.nanoTime() + HANG_CHECK_NANOS)) {
                    return false;
                }
            }
            return true;
        }

        private void crashIfDue() throws InterruptedException {
            boolean crashes = !settings.crashText().isEmpty()
                    && completion.prompt().contains(settings.crashText())
                    && produced >= Math.min(settings.crashAfterTokens(), completion.tokens() - completion.resumeFrom());
            if (crashes) {
                recordEnd(entry.deepCopy(), "crashed", produced);
                Runtime.getRuntime().halt(CRASH_EXIT_CODE);
            }
        }

        private long firstTokenNanos() {
            long millis = faults.number("first_token_ms") >= 0
                    ? faults.number("first_token_ms")
                    : settings.firstTokenMillis();
            return (long) (TimeUnit.MILLISECONDS.toNanos(millis) * (1 - CACHED_PROMPT_SAVING * cachedFraction));
        }

        private long tokenNanos() {
            long millis = faults.number("token_ms") >= 0 ? faults.number("token_ms") : settings.tokenMillis();
            double slowdown = 1 + settings.batchSlowdown() * Math.max(0, slots.running() - 1);
            return (long) (TimeUnit.MILLISECONDS.toNanos(millis) * slowdown);
        }
    }
}
