package org.masticcroft.kernel.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.masticcroft.kernel.plugin.PluginRegistry;

class ChoosersTest {
    private static List<UpstreamLoad> loads(List<Integer> inFlight) {
        List<UpstreamLoad> loads = new ArrayList<>();
        for (int number = 0; number < inFlight.size(); number++) {
            loads.add(new UpstreamLoad("e" + number, 16, inFlight.get(number), 0, Long.MAX_VALUE, true));
        }
        return loads;
    }

    private static Optional<Choice> choose(UpstreamChooser chooser, List<UpstreamLoad> loads, Set<String> excluded) {
        RoutingRequest request = new RoutingRequest("r", 42, 100, excluded);
        return chooser.choose(request, loads, RandomSource.SPLIT_MIX_64.create(1L));
    }

    /** Guards against a retry on an upstream that has already failed the request. */
    @Property(seed = "11", tries = 200)
    void neverChooseAnExcludedUpstream(
            @ForAll @Size(min = 1, max = 12) List<@IntRange(max = 40) Integer> inFlight,
            @ForAll @IntRange(max = 11) int excluded) {
        List<UpstreamLoad> loads = loads(inFlight);
        PluginRegistry<UpstreamChooser> registry = PluginRegistry.of(UpstreamChooser.class);
        for (String name : registry.names()) {
            Optional<Choice> choice = choose(registry.require(name), loads, Set.of("e" + excluded));
            assertThat(choice.map(Choice::upstream)).isNotEqualTo(Optional.of("e" + excluded));
            assertThat(choice.isPresent()).isEqualTo(inFlight.size() > 1 || excluded != 0);
        }
    }

    /** Guards against prefix affinity that overloads the preferred upstream. */
    @Property(seed = "13", tries = 200)
    void affinityKeepsTheLoadBound(@ForAll @Size(min = 8, max = 8) List<@IntRange(max = 40) Integer> inFlight) {
        Choice choice =
                choose(new PrefixAffinityChooser(), loads(inFlight), Set.of()).orElseThrow();
        int chosen = inFlight.get(Integer.parseInt(choice.upstream().substring(1)));
        double mean = inFlight.stream().mapToInt(Integer::intValue).average().orElse(0);
        if (!choice.reason().equals("two-choices")) {
            assertThat(chosen).isLessThanOrEqualTo((int) Math.ceil(PrefixAffinityChooser.LOAD_BOUND * (mean + 1)));
        }
    }

    /** Guards against prefixes that move to another upstream when an unrelated upstream leaves. */
    @Test
    void affinityIsStableWhenAnotherUpstreamLeaves() {
        List<UpstreamLoad> loads = loads(List.of(0, 0, 0, 0, 0, 0));
        UpstreamChooser chooser = new PrefixAffinityChooser();
        String chosen = choose(chooser, loads, Set.of()).orElseThrow().upstream();
        for (UpstreamLoad other : loads) {
            if (!other.upstream().equals(chosen)) {
                assertThat(choose(chooser, loads, Set.of(other.upstream())))
                        .map(Choice::upstream)
                        .contains(chosen);
            }
        }
    }
}
