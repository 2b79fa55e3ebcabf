package org.masticcroft.sidecar.target;

import com.codahale.metrics.MetricRegistry;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.LongFunction;
import org.masticcroft.account.record.ChangeRecord;
import org.masticcroft.account.writer.AccountWriter;
import org.masticcroft.kernel.config.ConfigView;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.event.EventLog;
import org.masticcroft.kernel.id.WeightsDigest;
import org.masticcroft.kernel.time.TimeSource;
import org.masticcroft.ports.engine.CommandResult;
import org.masticcroft.ports.engine.EngineClient;
import org.masticcroft.ports.weights.Manifest;
import org.masticcroft.sidecar.lease.LeaseHolder;

/**
 * Sends commands to the engine and records them in the account. A command is sent only while the lease is held and the
 * configuration is confirmed.
 */
public final class EngineCommands {
    private final EngineClient engine;
    private final LeaseHolder lease;
    private final ConfigView config;
    private final AccountWriter account;
    private final TimeSource time;
    private final MetricRegistry metrics;
    private final String upstream;

    /** Creates the commands of one upstream. */
    public EngineCommands(
            EngineClient engine,
            LeaseHolder lease,
            ConfigView config,
            AccountWriter account,
            TimeSource time,
            MetricRegistry metrics,
            String upstream) {
        this.engine = Objects.requireNonNull(engine, "engine");
        this.lease = Objects.requireNonNull(lease, "lease");
        this.config = Objects.requireNonNull(config, "config");
        this.account = Objects.requireNonNull(account, "account");
        this.time = Objects.requireNonNull(time, "time");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.upstream = Objects.requireNonNull(upstream, "upstream");
    }

    /** Loads staged weights. */
    public Outcome load(Manifest manifest) {
        return execute("load", manifest.digest(), fence -> engine.load(manifest, fence));
    }

    /** Unloads weights. */
    public Outcome unload(WeightsDigest digest) {
        return execute("unload", digest, fence -> engine.unload(digest, fence));
    }

    /** Drops staged chunks. */
    public Outcome dropStaged(WeightsDigest digest) {
        return execute("drop-staged", digest, fence -> {
            engine.dropStaged(digest);
            return CommandResult.DONE;
        });
    }

    private Outcome execute(String command, WeightsDigest digest, LongFunction<CommandResult> call) {
        OptionalLong token = config.confirmed() ? lease.confirmToken() : OptionalLong.empty();
        if (token.isEmpty()) {
            return Outcome.NOT_PERMITTED;
        }
        String result = send(call, token.getAsLong());
        metrics.counter(MetricRegistry.name("sidecar.command", command, result)).inc();
        EventLog.info(
                Event.ENGINE_ORDER,
                "upstream",
                upstream,
                "command",
                command,
                "digest",
                digest,
                "token",
                token.getAsLong(),
                "result",
                result);
        record(command, digest, token.getAsLong(), result);
        return toOutcome(result);
    }

    private String send(LongFunction<CommandResult> call, long token) {
        try {
            CommandResult result = call.apply(token);
            if (result == CommandResult.FENCE_REJECTED) {
                lease.onFenceRejected();
            }
            return result.name();
        } catch (MasticcroftException e) {
            return "FAILED_" + e.verdict();
        }
    }

    private static Outcome toOutcome(String result) {
        if (result.equals(CommandResult.DONE.name())) {
            return Outcome.DONE;
        }
        return result.equals(CommandResult.INCOMPLETE.name()) ? Outcome.INCOMPLETE : Outcome.FAILED;
    }

    private void record(String command, WeightsDigest digest, long token, String result) {
        SortedMap<String, String> details = new TreeMap<>();
        details.put("upstream", upstream);
        details.put("digest", digest.value());
        details.put("token", String.valueOf(token));
        details.put("config_version", String.valueOf(config.state().version()));
        details.put("result", result);
        account.write(new ChangeRecord(time.now(), "engine-" + command, details));
    }

    /** Outcome of a command. */
    public enum Outcome {
        DONE,
        /** The engine rejected the command because staged chunks are missing. */
        INCOMPLETE,
        FAILED,
        /** Not sent: the lease is not held or could not be checked, or the configuration is unconfirmed. */
        NOT_PERMITTED
    }
}
