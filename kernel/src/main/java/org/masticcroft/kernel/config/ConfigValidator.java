package org.masticcroft.kernel.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.regex.Pattern;

/** Checks the values of a merged configuration and the references between them. */
final class ConfigValidator {
    /**
     * Upper bound for {@code max_body_bytes}. A body is sent to the sidecar in one frame of the peer protocol, which is
     * limited to 20 MiB.
     */
    private static final long MAX_BODY_BYTES = 16L << 20;

    /** Rounding tolerance for the sum of the shares: 0.7 + 0.2 + 0.1, for example, is not exactly 1 in binary. */
    private static final double SHARE_TOLERANCE = 1e-9;

    private static final Pattern SHA256_HEX = Pattern.compile("[0-9a-f]{64}");
    private static final Set<String> METHODS = Set.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS");

    private final FleetConfig config;
    private final JsonNode tree;
    private final PolicyNames policyNames;
    private final ProblemList problems;

    /**
     * Creates a validator.
     *
     * @param config the configuration; values that did not fit their type are null or 0
     * @param tree the values that fit their type; tells an absent value from 0
     */
    ConfigValidator(FleetConfig config, JsonNode tree, PolicyNames policyNames, ProblemList problems) {
        this.config = config;
        this.tree = tree;
        this.policyNames = policyNames;
        this.problems = problems;
    }

    void validate() {
        config.ranks().forEach(this::validateRank);
        validateRankSet();
        config.customers().keySet().forEach(name -> {
            checkPositive("customers", name, "weight");
            checkRange(0, Double.MAX_VALUE, "customers", name, "requests_per_second");
        });
        config.keys().forEach(this::validateKey);
        validateKeyHashes();
        config.models()
                .forEach((name, model) -> model.versions()
                        .keySet()
                        .forEach(version -> checkPositive("models", name, "versions", version, "size")));
        config.deployments().forEach(this::validateDeployment);
        config.services().forEach(this::validateService);
        validateLimits();
        validatePolicies();
        if (tree.has("drained")) {
            problems.add(ProblemCode.KEY_RESERVED, "drained", "set by masticcroft drain and undrain, not by a folder");
        }
    }

    private void validateRank(String name, RankConfig rank) {
        checkRange(0, Integer.MAX_VALUE, "ranks", name, "order");
        checkRange(0, 1, "ranks", name, "share");
        checkPositive("ranks", name, "queue_limit");
        checkPositiveDuration(rank.firstToken(), "ranks", name, "first_token");
    }

    private void validateRankSet() {
        Map<Integer, String> rankByOrder = new HashMap<>();
        double shareSum = 0;
        for (Map.Entry<String, RankConfig> rank : config.ranks().entrySet()) {
            shareSum += Math.max(0, rank.getValue().share());
            if (find("ranks", rank.getKey(), "order").isPresent()) {
                String other = rankByOrder.putIfAbsent(rank.getValue().order(), rank.getKey());
                if (other != null) {
                    problems.add(
                            ProblemCode.ORDER_DUPLICATE,
                            ConfigKey.of("ranks", rank.getKey(), "order"),
                            "rank " + other + " has the order "
                                    + rank.getValue().order() + " too");
                }
            }
        }
        if (shareSum > 1 + SHARE_TOLERANCE) {
            problems.add(
                    ProblemCode.SHARES_EXCEED_ONE,
                    "ranks",
                    String.format(Locale.ROOT, "the shares of all ranks add up to %.3f, above 1", shareSum));
        }
    }

    private void validateKey(String name, KeyConfig key) {
        checkDefined(
                key.customer(), config.customers().keySet(), ProblemCode.CUSTOMER_UNKNOWN, "keys", name, "customer");
        checkDefined(key.rank(), config.ranks().keySet(), ProblemCode.RANK_UNKNOWN, "keys", name, "rank");
        if (key.sha256() != null && !SHA256_HEX.matcher(key.sha256()).matches()) {
            problems.add(
                    ProblemCode.HASH_INVALID,
                    ConfigKey.of("keys", name, "sha256"),
                    "must be 64 lower-case hex digits, as printed by masticcroft hash-key");
        }
    }

    private void validateKeyHashes() {
        Map<String, String> keyByHash = new HashMap<>();
        config.keys().forEach((name, key) -> {
            String other = key.sha256() == null ? null : keyByHash.putIfAbsent(key.sha256(), name);
            if (other != null) {
                problems.add(
                        ProblemCode.HASH_DUPLICATE,
                        ConfigKey.of("keys", name, "sha256"),
                        "key " + other + " has the same hash");
            }
        });
    }

    private void validateDeployment(String name, DeploymentConfig deployment) {
        String model = deployment.model();
        checkDefined(model, config.models().keySet(), ProblemCode.MODEL_UNKNOWN, "deployments", name, "model");
        if (model != null && config.models().containsKey(model)) {
            Set<String> versions = config.models().get(model).versions().keySet();
            checkDefined(deployment.version(), versions, ProblemCode.VERSION_UNKNOWN, "deployments", name, "version");
        }
        checkNotBlank(deployment.group(), "deployments", name, "group");
        deployment.adapter().ifPresent(adapter -> validateAdapter(name, adapter));
    }

    private void validateAdapter(String name, String adapter) {
        int slash = adapter.indexOf('/');
        ModelConfig model = slash < 0 ? null : config.models().get(adapter.substring(0, slash));
        if (model == null || !model.versions().containsKey(adapter.substring(slash + 1))) {
            problems.add(
                    ProblemCode.ADAPTER_INVALID,
                    ConfigKey.of("deployments", name, "adapter"),
                    "must name a model and a version as model/version; " + adapter + " is not defined");
        }
    }

    private void validateService(String name, ServiceConfig service) {
        checkNotBlank(service.group(), "services", name, "group");
        for (int i = 0; i < service.routes().size(); i++) {
            ServiceConfig.RouteConfig route = service.routes().get(i);
            String key = ConfigKey.of("services", name, "routes") + '[' + i + ']';
            if (route.method() != null && !METHODS.contains(route.method())) {
                problems.add(ProblemCode.ROUTE_INVALID, key + ".method", "must be an HTTP method in upper case");
            }
            if (route.path() != null && !route.path().startsWith("/")) {
                problems.add(ProblemCode.ROUTE_INVALID, key + ".path", "must start with /");
            }
            if (route.path() != null
                    && route.path().indexOf('*') >= 0
                    && route.path().indexOf('*') < route.path().length() - 1) {
                problems.add(ProblemCode.ROUTE_INVALID, key + ".path", "may have * only at its end");
            }
        }
    }

    private void validateLimits() {
        checkRange(1, MAX_BODY_BYTES, "limits", "max_body_bytes");
        checkRange(1, Integer.MAX_VALUE, "limits", "max_tokens");
        checkPositiveDuration(config.limits().requestTimeout(), "limits", "request_timeout");
    }

    private void validatePolicies() {
        validatePolicy(config.policies().admission(), policyNames.admission(), "admission");
        validatePolicy(config.policies().chooser(), policyNames.chooser(), "chooser");
        validatePolicy(config.policies().rollout(), policyNames.rollout(), "rollout");
    }

    private void validatePolicy(String name, SortedSet<String> registered, String kind) {
        if (!registered.isEmpty()) {
            checkDefined(name, registered, ProblemCode.POLICY_UNKNOWN, "policies", kind);
        }
    }

    private void checkDefined(String name, Set<String> defined, ProblemCode code, String... path) {
        if (name != null && !defined.contains(name)) {
            String definedList = defined.isEmpty() ? "none" : String.join(", ", defined);
            problems.add(code, ConfigKey.of(path), name + " is not defined; defined: " + definedList);
        }
    }

    private void checkNotBlank(String value, String... path) {
        if (value != null && value.isBlank()) {
            problems.add(ProblemCode.VALUE_OUT_OF_RANGE, ConfigKey.of(path), "must not be empty");
        }
    }

    private void checkPositive(String... path) {
        find(path)
                .filter(value -> value.asDouble() <= 0)
                .ifPresent(value -> problems.add(
                        ProblemCode.VALUE_OUT_OF_RANGE, ConfigKey.of(path), "must be above 0, is " + value.asText()));
    }

    private void checkRange(double min, double max, String... path) {
        find(path)
                .filter(value -> value.asDouble() < min || value.asDouble() > max)
                .ifPresent(value -> {
                    String range = max >= Integer.MAX_VALUE
                            ? "at least " + (long) min
                            : "between " + (long) min + " and " + (long) max;
                    problems.add(
                            ProblemCode.VALUE_OUT_OF_RANGE,
                            ConfigKey.of(path),
                            "must be " + range + ", is " + value.asText());
                });
    }

    private void checkPositiveDuration(Duration value, String... path) {
        if (value != null && value.isZero()) {
            problems.add(ProblemCode.VALUE_OUT_OF_RANGE, ConfigKey.of(path), "must be above 0, is 0");
        }
    }

    private Optional<JsonNode> find(String... path) {
        JsonNode node = tree;
        for (String name : path) {
            node = node.path(name);
        }
        return node.isMissingNode() ? Optional.empty() : Optional.of(node);
    }
}
