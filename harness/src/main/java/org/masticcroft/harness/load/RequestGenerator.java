package org.masticcroft.harness.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.masticcroft.harness.history.Kind;
import org.masticcroft.harness.json.Json;

/**
 * Generates requests with exponentially distributed intervals. The same settings, including the seed, and the same run
 * id give the same requests.
 */
public final class RequestGenerator {
    private static final long MAX_COPY_DELAY_MILLIS = 300;
    private static final int ALPHABET_SIZE = 26;

    private final LoadSettings settings;
    private final String runId;
    private final UniformRandomProvider random;
    private final List<String> prefixes = new ArrayList<>();
    private final double totalWeight;
    private long nextSequence;
    private long sendAtNanos;

    private RequestGenerator(LoadSettings settings, String runId) {
        this.settings = settings;
        this.runId = runId;
        this.random = RandomSource.XO_SHI_RO_256_PP.create(settings.seed());
        this.totalWeight =
                settings.callers().stream().mapToDouble(CallerKey::weight).sum();
        for (int i = 0; i < settings.prefixes(); i++) {
            prefixes.add(randomLetters(settings.prefixCharacters()));
        }
    }

    /** Creates a generator; {@code runId} makes the tokens of this run unique. */
    public static RequestGenerator of(LoadSettings settings, String runId) {
        return new RequestGenerator(settings, runId);
    }

    /** Generates the next request. */
    public PlannedRequest next() {
        sendAtNanos += (long) (-Math.log(1 - random.nextDouble()) / settings.rate() * TimeUnit.SECONDS.toNanos(1));
        String token = runId + "-" + nextSequence++;
        String entry = pick(settings.entries());
        CallerKey caller = pickCaller();
        if (settings.services().isEmpty() || random.nextDouble() < settings.chatShare()) {
            return chat(token, entry, caller);
        }
        String service = "/services/" + pick(settings.services());
        return random.nextDouble() < settings.orderShare()
                ? order(token, entry, caller, service)
                : read(token, entry, caller, service);
    }

    private PlannedRequest chat(String token, String entry, CallerKey caller) {
        boolean stream = random.nextDouble() < settings.streamShare();
        int maxTokens = settings.minTokens() + random.nextInt(settings.maxTokens() - settings.minTokens() + 1);
        String prompt = pick(prefixes) + " question " + token;
        var body = Json.object()
                .put("model", settings.deployment())
                .put("max_tokens", maxTokens)
                .put("stream", stream);
        body.putArray("messages").addObject().put("role", "user").put("content", prompt);
        return new PlannedRequest(
                sendAtNanos,
                entry,
                caller,
                Kind.CHAT,
                stream,
                "POST",
                "/v1/chat/completions",
                token,
                prompt,
                Json.line(body),
                maxTokens,
                Optional.empty());
    }

    private PlannedRequest order(String token, String entry, CallerKey caller, String service) {
        String body = Json.line(Json.object().put("order", token).put("quantity", 1 + random.nextInt(1000)));
        Optional<PlannedRequest.Copy> copy = random.nextDouble() < settings.resendShare()
                ? Optional.of(new PlannedRequest.Copy(pick(settings.entries()), random.nextLong(MAX_COPY_DELAY_MILLIS)))
                : Optional.empty();
        return new PlannedRequest(
                sendAtNanos,
                entry,
                caller,
                Kind.ORDER,
                false,
                "POST",
                service + settings.orderPath(),
                token,
                "",
                body,
                0,
                copy);
    }

    private PlannedRequest read(String token, String entry, CallerKey caller, String service) {
        String path = service + settings.readPath() + "?q=" + token;
        return new PlannedRequest(
                sendAtNanos, entry, caller, Kind.READ, false, "GET", path, token, "", "", 0, Optional.empty());
    }

    private CallerKey pickCaller() {
        double remainingWeight = random.nextDouble() * totalWeight;
        for (CallerKey caller : settings.callers()) {
            remainingWeight -= caller.weight();
            if (remainingWeight < 0) {
                return caller;
            }
        }
        return settings.callers().get(settings.callers().size() - 1);
    }

    private <T> T pick(List<T> list) {
        return list.get(random.nextInt(list.size()));
    }

    private String randomLetters(int length) {
        StringBuilder text = new StringBuilder(length);
        for (int i = 0; i < length; i++) {
            text.append((char) ('a' + random.nextInt(ALPHABET_SIZE)));
        }
        return text.toString();
    }
}
