package review;

/** Configurations as the operator writes them. */
final class Configs {
    static final String HOST = "orders.example";
    private static final String LIMITS = "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
            + "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}";

    private Configs() {}

    /** Returns a configuration with an unsafe route and a safe one to a plain service. */
    static String plain(long version, boolean anonymous, String tenants) {
        return "{\"version\":" + version + ",\"routes\":["
                + route("r-order", "/order/", "unsafe", "ledger", 1, anonymous, "") + ","
                + route("r-status", "/status/", "safe", "ledger", 2, anonymous, "")
                + "],\"services\":[{\"name\":\"ledger\",\"health-path\":\"/health\",\"max-connections\":110,"
                + "\"protocol\":\"h1\",\"tls\":false}]," + LIMITS + tenants + "}";
    }

    /** Returns a configuration with a stream that a model serves, the origin of its weights, and the plain routes. */
    static String model(long version, String origin, int chunks, int chunkBytes) {
        return "{\"version\":" + version + ",\"routes\":["
                + route("r-order", "/order/", "unsafe", "ledger", 1, true, "") + ","
                + route("r-text", "/text/", "streaming", "model", 2, true,
                        ",\"sticky\":true,\"resumable\":true,\"target-gap-ms\":400")
                + "],\"services\":[{\"name\":\"ledger\",\"health-path\":\"/health\",\"max-connections\":110,"
                + "\"protocol\":\"h1\",\"tls\":false},{\"name\":\"model\",\"health-path\":\"/health\",\"max-connections\":274,"
                + "\"protocol\":\"h1\",\"tls\":false,\"engine-profile\":{\"slots\":16,\"kv-capacity-tokens\":1180000,"
                + "\"kv-token-bytes\":163840,\"link-mbps\":400000.0,\"stride\":5,\"models\":[{\"name\":\"m0\","
                + "\"pace\":1.0,\"load-s\":4.0,\"warm-s\":0.3}],\"size-mb\":266000.0,\"adapter-slots\":8,"
                + "\"loads-per-s\":0.0,\"step_ms\":8.87,\"per_seq_ms\":0.0388,\"context_per_k\":0.0227,"
                + "\"read_per_s\":19100.0,\"pairs_per_m\":1.47,\"chunk\":2048,\"report_lag_ms\":200.0,"
                + "\"loads_at_once\":8,\"delays\":[],\"usual\":{\"prompt\":977,\"answer\":94},\"layers\":16,"
                + "\"layer_mb\":4540.0,\"act_bytes\":16384,\"pipe_mbps\":0.0,\"chunks\":" + chunks
                + ",\"chunk-bytes\":" + chunkBytes + "}},{\"name\":\"store\",\"origin\":\"" + origin
                + "\",\"zone\":\"z1\",\"link-mbps\":7.3,\"max-connections\":48}]," + LIMITS + "}";
    }

    private static String route(
            String name, String prefix, String kind, String service, int attempts, boolean anonymous, String more) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"path-prefix\":\"" + prefix + "\",\"kind\":\""
                + kind + "\",\"timeout-ms\":6000,\"target-latency-ms\":400,\"priority\":0,\"service\":\"" + service
                + "\",\"max-attempts\":" + attempts + ",\"public\":" + anonymous + more + "}";
    }
}
