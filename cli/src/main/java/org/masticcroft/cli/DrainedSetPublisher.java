package org.masticcroft.cli;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.masticcroft.cli.fleet.Platform;
import org.masticcroft.cli.publish.PublishResult;
import org.masticcroft.cli.publish.Publisher;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.ports.instance.Instance;
import picocli.CommandLine.Mixin;

/**
 * Mixin of {@code drain} and {@code undrain}: publishes the set of drained upstreams with one name added or removed.
 */
final class DrainedSetPublisher {
    @Mixin
    private OutputOption output;

    @Mixin
    private PlatformSettings settings;

    @Mixin
    private WaitSetting wait;

    @Mixin
    private AuthorSetting author;

    /** Publishes the drained set with the upstream added and returns the exit code. */
    int add(CliContext context, String upstream, boolean force) {
        return publish(context, upstream, force, names -> names.add(upstream));
    }

    /** Publishes the drained set without the upstream and returns the exit code. */
    int remove(CliContext context, String upstream) {
        return publish(context, upstream, false, names -> names.remove(upstream));
    }

    private int publish(CliContext context, String upstream, boolean force, Consumer<SortedSet<String>> change) {
        SettingValidator validator = new SettingValidator();
        Duration timeout = wait.timeout(validator);
        try (Platform platform = settings.open(context, validator)) {
            PublishResult result = Publisher.of(platform, context.time(), context.sleeper(), output::printMessage)
                    .publish(
                            author.author(),
                            inForce -> {
                                SortedSet<String> names = new TreeSet<>(inForce.drained());
                                if (!force && !names.contains(upstream)) {
                                    requireListedUpstream(platform, upstream);
                                }
                                change.accept(names);
                                return inForce.withDrained(names);
                            },
                            timeout);
            return PublishReport.print(output, result);
        }
    }

    /**
     * Rejects a name that is not in the instance list, since it may be mistyped. The check is skipped while the list
     * cannot be read, so that an operator can still drain.
     */
    private static void requireListedUpstream(Platform platform, String upstream) {
        Optional<List<String>> listed = platform.instances().map(DrainedSetPublisher::upstreamNames);
        if (listed.isPresent() && !listed.get().contains(upstream)) {
            throw MasticcroftException.notRun(
                    ErrorCode.INVALID_CONFIGURATION,
                    "no upstream is drained or listed as " + upstream + "; listed: " + String.join(", ", listed.get()));
        }
    }

    private static List<String> upstreamNames(List<Instance> instances) {
        return instances.stream()
                .flatMap(instance -> instance.upstream().stream())
                .map(Instance.Upstream::id)
                .sorted()
                .toList();
    }
}
