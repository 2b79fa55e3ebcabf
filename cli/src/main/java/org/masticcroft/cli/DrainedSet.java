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

/** What {@code drain} and {@code undrain} share, for use as a mixin. */
final class DrainedSet {
    @Mixin
    private OutputOption output;

    @Mixin
    private PlatformSettings settings;

    @Mixin
    private WaitSetting wait;

    @Mixin
    private AuthorSetting author;

    /** Publishes the drained set with the upstream added. */
    int add(CliContext context, String upstream, boolean force) {
        return publish(context, upstream, force, names -> names.add(upstream));
    }

    /** Publishes the drained set without the upstream. */
    int remove(CliContext context, String upstream) {
        return publish(context, upstream, false, names -> names.remove(upstream));
    }

    private int publish(CliContext context, String upstream, boolean force, Consumer<SortedSet<String>> change) {
        SettingProblems problems = new SettingProblems();
        Duration limit = wait.duration(problems);
        try (Platform platform = settings.open(context, problems)) {
            PublishResult result = Publisher.of(platform, context.time(), context.pause(), output::progress)
                    .publish(
                            author.author(),
                            inForce -> {
                                SortedSet<String> names = new TreeSet<>(inForce.drained());
                                if (!force && !names.contains(upstream)) {
                                    requireListed(platform, upstream);
                                }
                                change.accept(names);
                                return inForce.withDrained(names);
                            },
                            limit);
            return PublishReport.print(output, result);
        }
    }

    /** Guards against a mistyped name; a list that cannot be read does not stop an operator. */
    private static void requireListed(Platform platform, String upstream) {
        Optional<List<String>> listed = platform.instances().map(DrainedSet::upstreams);
        if (listed.isPresent() && !listed.get().contains(upstream)) {
            throw MasticcroftException.notRun(
                    ErrorCode.INVALID_CONFIGURATION,
                    "no upstream is drained or listed as " + upstream + "; listed: " + String.join(", ", listed.get()));
        }
    }

    private static List<String> upstreams(List<Instance> instances) {
        return instances.stream()
                .flatMap(instance -> instance.upstream().stream())
                .map(Instance.Upstream::id)
                .sorted()
                .toList();
    }
}
