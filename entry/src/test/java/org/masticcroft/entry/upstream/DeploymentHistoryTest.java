package org.masticcroft.entry.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticcroft.entry.EntryFixture.FakeConfig;
import org.masticcroft.kernel.config.ConfigState;
import org.masticcroft.kernel.config.DeploymentConfig;
import org.masticcroft.kernel.config.FleetConfig;

class DeploymentHistoryTest {
    private final DeploymentHistory history = DeploymentHistory.empty();

    private List<String> versions(ConfigState state) {
        return history.resolve(state, "chat").orElseThrow().weights().stream()
                .map(Weights::version)
                .toList();
    }

    private static ConfigState state(long version, FleetConfig fleet) {
        return new ConfigState(version, fleet, 0);
    }

    @Nested
    class AcceptableWeights {
        @Test
        void startWithTheCurrentVersionAndKeepThePreviousOne() {
            history.observe(state(1, FakeConfig.fleet("v1", 0)));
            assertThat(versions(state(2, FakeConfig.fleet("v2", 0)))).containsExactly("v2", "v1");
        }

        /** Guards against an outage at an entry that starts before any upstream serves the new version. */
        @Test
        void includeUnreferencedVersionsAfterARestart() {
            assertThat(versions(state(2, FakeConfig.fleet("v2", 0)))).containsExactly("v2", "v1");
        }

        /** Guards against a restarted entry that routes requests to weights of another deployment of the group. */
        @Test
        void excludeVersionsOfOtherDeployments() {
            FleetConfig fleet = FakeConfig.fleet("v2", 0);
            Map<String, DeploymentConfig> deployments = new TreeMap<>(fleet.deployments());
            deployments.put("old", new DeploymentConfig("m", "v1", "engines", null, Optional.empty()));
            FleetConfig withSecondDeployment = new FleetConfig(
                    fleet.ranks(),
                    fleet.customers(),
                    fleet.keys(),
                    fleet.models(),
                    new TreeMap<>(deployments),
                    fleet.services(),
                    fleet.limits(),
                    fleet.policies(),
                    fleet.drained());
            assertThat(versions(state(2, withSecondDeployment))).containsExactly("v2");
        }
    }
}
