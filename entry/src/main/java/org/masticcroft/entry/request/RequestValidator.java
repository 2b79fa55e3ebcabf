package org.masticcroft.entry.request;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.io.IOException;
import java.net.URI;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Objects;
import java.util.Optional;
import java.util.regex.Pattern;
import org.masticcroft.kernel.claim.IdempotencyKey;
import org.masticcroft.kernel.config.FleetConfig;
import org.masticcroft.kernel.config.KeyConfig;
import org.masticcroft.kernel.config.ServiceConfig;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.error.MasticcroftException;

/**
 * Validates caller requests against the configuration. Rejections have the verdict {@code NOT_RUN}, except that of an
 * expired idempotency key, whose order may have run before.
 */
final class RequestValidator {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String BEARER = "Bearer ";
    private static final int ESTIMATED_BYTES_PER_TOKEN = 4;
    private static final int DEFAULT_MAX_TOKENS = 256;
    private static final int HASHED_PREFIX_CHARS = 256;
    private static final Pattern AMBIGUOUS_PATH = Pattern.compile("//|/\\.{1,2}(/|$)|[\\\\%;]");

    private RequestValidator() {}

    /**
     * Returns the identity that belongs to a caller key. Keys are looked up by their SHA-256.
     *
     * @throws MasticcroftException with {@code UNKNOWN_KEY}
     */
    static Identity authenticate(FleetConfig config, Optional<String> authorization) {
        String hash = authorization
                .filter(value -> value.regionMatches(true, 0, BEARER, 0, BEARER.length()))
                .map(value -> sha256(value.substring(BEARER.length()).trim().getBytes(StandardCharsets.UTF_8)))
                .orElseThrow(() -> MasticcroftException.notRun(
                        ErrorCode.UNKNOWN_KEY, "an Authorization header with a bearer key is required"));
        KeyConfig key = config.keyByHash(hash)
                .orElseThrow(() -> MasticcroftException.notRun(ErrorCode.UNKNOWN_KEY, "the caller key is unknown"));
        return Identity.of(
                key.customer(),
                key.rank(),
                config.customers().get(key.customer()),
                config.ranks().get(key.rank()));
    }

    /** Returns the lowest configuration version that the caller accepts; 0 if it accepts any. */
    static long minConfigVersion(CallerRequest request) {
        try {
            return request.minConfig().map(String::trim).map(Long::parseLong).orElse(0L);
        } catch (NumberFormatException e) {
            throw MasticcroftException.notRun(
                    ErrorCode.MALFORMED_REQUEST, "X-Masticcroft-Min-Config must be a configuration version");
        }
    }

    /** Validates a request and returns its specification. */
    static RequestSpec validate(
            FleetConfig config, CallerRequest request, Identity identity, Instant now, Duration keyLifetime) {
        if (request.body().length > config.limits().maxBodyBytes()) {
            throw MasticcroftException.notRun(
                    ErrorCode.BODY_TOO_LARGE,
                    "the body exceeds " + config.limits().maxBodyBytes() + " bytes");
        }
        return request.kind() == CallerRequest.Kind.CHAT
                ? validateChat(config, request, identity)
                : validateServiceCall(config, request, identity, now, keyLifetime);
    }

    static String sha256(byte[] data) {
        return Hashing.sha256().hashBytes(data).toString();
    }

    private static RequestSpec validateChat(FleetConfig config, CallerRequest request, Identity identity) {
        JsonNode body = parse(request.body());
        String model = body.path("model").asText("");
        if (model.isEmpty() || !body.path("messages").isArray()) {
            throw malformed("the body must contain model and messages");
        }
        if (!config.deployments().containsKey(model)) {
            throw MasticcroftException.notRun(ErrorCode.UNKNOWN_MODEL, "there is no model named " + model);
        }
        return new RequestSpec(
                model,
                body.path("stream").asBoolean(false),
                true,
                Optional.empty(),
                request.body().length / ESTIMATED_BYTES_PER_TOKEN + maxTokens(config, body),
                prefixHash(model, body.path("messages")),
                fingerprint(identity, request));
    }

    private static int maxTokens(FleetConfig config, JsonNode body) {
        JsonNode maxTokens = body.path("max_tokens");
        if (maxTokens.isMissingNode() || maxTokens.isNull()) {
            return Math.min(DEFAULT_MAX_TOKENS, config.limits().maxTokens());
        }
        if (!maxTokens.canConvertToInt() || maxTokens.asInt() < 1) {
            throw malformed("max_tokens must be a positive integer");
        }
        if (maxTokens.asInt() > config.limits().maxTokens()) {
            throw malformed("max_tokens must not exceed " + config.limits().maxTokens());
        }
        return maxTokens.asInt();
    }

    private static RequestSpec validateServiceCall(
            FleetConfig config, CallerRequest request, Identity identity, Instant now, Duration keyLifetime) {
        ServiceConfig service = Optional.ofNullable(config.services().get(request.target()))
                .orElseThrow(() -> MasticcroftException.notRun(
                        ErrorCode.UNKNOWN_SERVICE, "there is no service named " + request.target()));
        String path = decodedPath(request.path());
        ServiceConfig.RouteConfig route = service.route(request.method(), path)
                .orElseThrow(() -> MasticcroftException.notRun(
                        ErrorCode.UNKNOWN_ROUTE,
                        "the service " + request.target() + " has no route for " + request.method() + " " + path));
        Optional<IdempotencyKey> key =
                route.idempotent() ? Optional.empty() : Optional.of(requireIdempotencyKey(request, now, keyLifetime));
        return new RequestSpec(request.target(), false, route.idempotent(), key, 1, 0, fingerprint(identity, request));
    }

    /**
     * Returns the path as the upstream will see it, for matching against the routes. With the raw path, an encoded or
     * relative path could match the route of an idempotent call although the call is not idempotent.
     */
    private static String decodedPath(String pathAndQuery) {
        try {
            String path = new URI(pathAndQuery).getPath();
            if (!pathAndQuery.startsWith("//") && !AMBIGUOUS_PATH.matcher(path).find()) {
                return path;
            }
        } catch (URISyntaxException e) {
            throw malformed("the path is not a valid URI");
        }
        throw malformed("the path must not contain empty, relative or doubly encoded segments");
    }

    private static IdempotencyKey requireIdempotencyKey(CallerRequest request, Instant now, Duration keyLifetime) {
        IdempotencyKey key = request.idempotencyKey()
                .map(IdempotencyKey::parse)
                .orElseThrow(() -> MasticcroftException.notRun(
                        ErrorCode.IDEMPOTENCY_KEY_REQUIRED, "this call requires an Idempotency-Key header"));
        key.refusal(now, keyLifetime).ifPresent(refusal -> {
            throw refusal;
        });
        return key;
    }

    private static JsonNode parse(byte[] body) {
        try {
            JsonNode node = MAPPER.readTree(body);
            if (node != null && node.isObject()) {
                return node;
            }
        } catch (IOException e) {
            throw malformed("the body is not valid JSON");
        }
        throw malformed("the body is not a JSON object");
    }

    private static long prefixHash(String model, JsonNode messages) {
        StringBuilder prefix = new StringBuilder(model);
        for (JsonNode message : messages) {
            prefix.append('\n').append(message.path("role").asText()).append(':');
            JsonNode content = message.path("content");
            prefix.append(content.isTextual() ? content.asText() : content.toString());
            if (prefix.length() >= HASHED_PREFIX_CHARS) {
                prefix.setLength(HASHED_PREFIX_CHARS);
                break;
            }
        }
        long hash =
                Hashing.sipHash24().hashString(prefix, StandardCharsets.UTF_8).asLong();
        // 0 is reserved for requests without a prefix.
        return hash == 0 ? 1 : hash;
    }

    private static String fingerprint(Identity identity, CallerRequest request) {
        Hasher hasher = Hashing.sha256().newHasher();
        hasher.putString(identity.customer(), StandardCharsets.UTF_8).putByte((byte) 0);
        if (request.kind() == CallerRequest.Kind.SERVICE) {
            String call = request.target() + ' ' + request.method() + ' ' + request.path();
            hasher.putString(call, StandardCharsets.UTF_8).putByte((byte) 0);
        }
        return hasher.putBytes(request.body()).hash().toString();
    }

    private static MasticcroftException malformed(String message) {
        return MasticcroftException.notRun(ErrorCode.MALFORMED_REQUEST, Objects.requireNonNull(message));
    }
}
