package org.masticcroft.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.masticcroft.cli.TestFleet.Run;
import org.masticcroft.kernel.config.ConfigRecord;
import org.masticcroft.kernel.config.FleetConfig;
import org.masticcroft.ports.config.ConfigTracker;
import org.masticcroft.ports.instance.Instance;
import org.masticcroft.ports.log.Streams;

class PublishTest {
    private static final String EXAMPLE_FOLDER =
            Path.of("..", "examples", "port").toString();

    private final TestFleet fleet = new TestFleet();

    @TempDir
    private Path folder;

    @BeforeEach
    void addInstances() {
        fleet.add("entry-1", Optional.empty());
        fleet.addEngine("sidecar-1", "engine-1");
        fleet.poll();
    }

    private long versionOf(String instance) {
        fleet.poll();
        return fleet.trackers.get(instance).version();
    }

    private FleetConfig inForce() {
        fleet.poll();
        return fleet.trackers.get("entry-1").state().config();
    }

    private void publishAsAnotherOperator(long base) {
        FleetConfig other = FleetConfig.empty().withDrained(new TreeSet<>(Set.of("other")));
        fleet.log.append(Streams.CONFIG, new ConfigRecord.Update("other", base, "", other).encode());
    }

    @Nested
    class Acceptance {
        /** Guards against a configuration that is reported as accepted before it is in force. */
        @Test
        void needsEveryListedLiveInstance() {
            Run run = fleet.run("publish", EXAMPLE_FOLDER);
            assertThat(run.exitCode()).as(run.err()).isEqualTo(ExitCodes.OK);
            assertThat(run.out()).startsWith("accepted, version 1");
            assertThat(run.err()).contains("in force on 0 of 2").contains("in force on 2 of 2");
        }

        /** Guards against an unresponsive instance that is ignored or not named to the operator. */
        @Test
        void namesTheInstancesThatDoNotConfirm() {
            fleet.trackers.remove("sidecar-1");
            Run run = fleet.run("publish", EXAMPLE_FOLDER);
            assertThat(run.exitCode()).isEqualTo(ExitCodes.NOT_YET_IN_FORCE);
            assertThat(run.out()).contains("missing: sidecar-1").contains("status --wait-version 1");
            assertThat(fleet.run("status", "--wait-version", "1").exitCode()).isEqualTo(ExitCodes.NOT_YET_IN_FORCE);
        }

        /** Guards against waiting for an instance that was removed from the instance list in the meantime. */
        @Test
        void doesNotWaitForAnInstanceThatTheListDrops() {
            fleet.trackers.remove("sidecar-1");
            fleet.onSleep =
                    () -> fleet.instances.removeIf(instance -> instance.id().equals("sidecar-1"));
            assertThat(fleet.run("publish", EXAMPLE_FOLDER).exitCode()).isEqualTo(ExitCodes.OK);
        }

        /** Guards against reporting acceptance while the instances to check are not known. */
        @Test
        void needsTheInstanceList() {
            fleet.instanceListAvailable = false;
            assertThat(fleet.run("publish", EXAMPLE_FOLDER).exitCode()).isEqualTo(ExitCodes.NOT_YET_IN_FORCE);
        }

        /** Guards against a new version each time an operator repeats the same command. */
        @Test
        void ofUnchangedContentPublishesNothing() {
            fleet.run("publish", EXAMPLE_FOLDER);
            assertThat(fleet.run("publish", EXAMPLE_FOLDER).exitCode()).isEqualTo(ExitCodes.OK);
            assertThat(versionOf("entry-1")).isEqualTo(1);
        }
    }

    @Nested
    class Races {
        /** Guards against a second concurrent update that takes effect or is reported as published. */
        @Test
        void areLostByTheSecondRecord() {
            fleet.beforeAppend = () -> publishAsAnotherOperator(0);
            Run run = fleet.run("publish", EXAMPLE_FOLDER);
            assertThat(run.exitCode()).as(run.err()).isEqualTo(ExitCodes.LOST_RACE);
            assertThat(run.out()).startsWith("lost the race, version 1");
            assertThat(inForce().drained()).containsExactly("other");
        }

        /**
         * Guards against reporting a lost race because of an earlier record that has another base and takes no effect.
         */
        @Test
        void areWonAgainstARecordOnAnotherBase() {
            fleet.beforeAppend = () -> publishAsAnotherOperator(5);
            assertThat(fleet.run("publish", EXAMPLE_FOLDER).exitCode()).isEqualTo(ExitCodes.OK);
            assertThat(inForce().ranks()).hasSize(3);
        }

        /** Guards against a wrong result for a lost race when the response to the append was lost as well. */
        @Test
        void areDecidedByTheStreamWhenTheResponseIsLost() {
            fleet.beforeAppend = () -> {
                publishAsAnotherOperator(0);
                fleet.log.loseAppendResponses(1);
            };
            assertThat(fleet.run("publish", EXAMPLE_FOLDER).exitCode()).isEqualTo(ExitCodes.LOST_RACE);
        }
    }

    @Nested
    class Faults {
        /** Guards against a committed configuration that is reported as failed, or published twice. */
        @Test
        void lostResponsesDoNotHideTheResult() {
            fleet.log.loseAppendResponses(1);
            Run run = fleet.run("publish", EXAMPLE_FOLDER);
            assertThat(run.exitCode()).as(run.err()).isEqualTo(ExitCodes.OK);
            assertThat(versionOf("entry-1")).isEqualTo(1);
            assertThat(fleet.log.records(Streams.CONFIG)).hasSize(1);
        }

        /** Guards against a claim that nothing was published when the record may be in the log. */
        @Test
        void anOutageAfterALostResponseLeavesTheResultUnknown() {
            fleet.log.loseAppendResponses(1);
            fleet.afterAppend = () -> fleet.log.setAvailable(false);
            Run run = fleet.run("publish", EXAMPLE_FOLDER);
            assertThat(run.exitCode()).isEqualTo(ExitCodes.UNAVAILABLE);
            assertThat(run.out()).startsWith("result unknown");
            fleet.log.setAvailable(true);
            assertThat(fleet.run("publish", EXAMPLE_FOLDER).exitCode()).isEqualTo(ExitCodes.OK);
            assertThat(versionOf("entry-1")).isEqualTo(1);
        }

        /**
         * Guards against an unknown result, which makes the operator wait for the outage to end, when nothing was
         * appended.
         */
        @Test
        void anOutageMeansThatNothingIsPublished() {
            fleet.beforeAppend = () -> fleet.log.setAvailable(false);
            Run run = fleet.run("publish", EXAMPLE_FOLDER);
            assertThat(run.exitCode()).isEqualTo(ExitCodes.UNAVAILABLE);
            assertThat(run.out()).startsWith("not published");
            fleet.log.setAvailable(true);
            assertThat(versionOf("entry-1")).isZero();
        }

        /** Guards against guessing the version in force when the log has deleted its first records. */
        @Test
        void aTruncatedLogNeedsASnapshotFromAnInstance() {
            fleet.run("publish", EXAMPLE_FOLDER);
            fleet.poll();
            fleet.log.dropBefore(Streams.CONFIG, 1);
            assertThat(fleet.run("drain", "engine-1").exitCode()).isEqualTo(ExitCodes.OK);
            assertThat(versionOf("entry-1")).isEqualTo(2);
            fleet.log.dropBefore(Streams.CONFIG, 2);
            fleet.trackers.clear();
            assertThat(fleet.run("undrain", "engine-1").exitCode()).isEqualTo(ExitCodes.UNAVAILABLE);
        }
    }

    @Nested
    class Drained {
        /** Guards against publishing a folder that makes a drained upstream receive work again. */
        @Test
        void upstreamsStayDrainedWhenAFolderIsPublished() throws IOException {
            fleet.run("publish", EXAMPLE_FOLDER);
            assertThat(fleet.run("drain", "engine-1").exitCode()).isEqualTo(ExitCodes.OK);
            Files.writeString(folder.resolve("10.yaml"), "limits:\n  max_tokens: 7\n");
            assertThat(fleet.run("publish", folder.toString()).exitCode()).isEqualTo(ExitCodes.OK);
            assertThat(inForce().drained()).containsExactly("engine-1");
            assertThat(inForce().limits().maxTokens()).isEqualTo(7);
            assertThat(fleet.run("undrain", "engine-1").exitCode()).isEqualTo(ExitCodes.OK);
            assertThat(inForce().drained()).isEmpty();
        }

        /** Guards against a mistyped name that is accepted but drains nothing. */
        @Test
        void upstreamsMustBeListed() {
            Run run = fleet.run("drain", "engin-1");
            assertThat(run.exitCode()).isEqualTo(ExitCodes.PROBLEM);
            assertThat(run.err()).contains("engin-1").contains("listed: engine-1");
            assertThat(versionOf("entry-1")).isZero();
            assertThat(fleet.run("drain", "--force", "engin-1").exitCode()).isEqualTo(ExitCodes.OK);
            assertThat(fleet.run("undrain", "engin-1").exitCode()).isEqualTo(ExitCodes.OK);
        }
    }

    @Nested
    class Settings {
        /** Guards against invalid settings that are reported one at a time, or after the command has begun its work. */
        @Test
        void areCheckedTogetherAtTheStart() {
            Run run = fleet.run(
                    Map.of("MASTICCROFT_INSTANCES_URL", "nowhere"),
                    "",
                    "publish",
                    "--log-url",
                    "ftp:x",
                    "--wait",
                    "5",
                    EXAMPLE_FOLDER);
            assertThat(run.exitCode()).isEqualTo(ExitCodes.USAGE);
            assertThat(run.err())
                    .contains("--log-url (MASTICCROFT_LOG_URL) is 'ftp:x'")
                    .contains("--instances-url (MASTICCROFT_INSTANCES_URL) is 'nowhere'")
                    .contains(
                            "--wait (MASTICCROFT_WAIT) is '5'; accepted: a duration from 0s to 60m [INVALID_SETTING]");
            assertThat(versionOf("entry-1")).isZero();
        }

        /** Guards against a variable that overrides a flag. */
        @Test
        void ofFlagsPrecedeVariables() {
            Map<String, String> environment = Map.of("MASTICCROFT_WAIT", "forever", "MASTICCROFT_OUTPUT", "json");
            assertThat(fleet.run(environment, "", "publish", EXAMPLE_FOLDER).exitCode())
                    .isEqualTo(ExitCodes.USAGE);
            Run run = fleet.run(environment, "", "publish", "--wait", "1s", EXAMPLE_FOLDER);
            assertThat(run.exitCode()).isEqualTo(ExitCodes.OK);
            assertThat(run.out()).contains("\"outcome\" : \"ACCEPTED\"");
        }
    }

    /** Guards against an instance in a planned stop that delays acceptance. */
    @Test
    void leavingInstancesAreNotWaitedFor() {
        Instance leaving = fleet.instances.remove(1);
        fleet.instances.add(new Instance(
                leaving.id(),
                leaving.role(),
                leaving.region(),
                leaving.dataCentre(),
                leaving.host(),
                0,
                0,
                leaving.peerPort(),
                Instance.State.LEAVING,
                leaving.upstream()));
        ConfigTracker leavingTracker = fleet.trackers.remove(leaving.id());
        assertThat(fleet.run("publish", EXAMPLE_FOLDER).exitCode()).isEqualTo(ExitCodes.OK);
        assertThat(leavingTracker.version()).isZero();
    }
}
