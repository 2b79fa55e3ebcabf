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
    private static final String PORT = Path.of("..", "examples", "port").toString();

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

    private void publishAsAnother(long base) {
        FleetConfig other = FleetConfig.empty().withDrained(new TreeSet<>(Set.of("other")));
        fleet.log.append(Streams.CONFIG, new ConfigRecord.Update("other", base, "", other).encode());
    }

    @Nested
    class Acceptance {
        /** Guards against a configuration that is reported as accepted before it is in force. */
        @Test
        void needsEveryListedLiveInstance() {
            Run run = fleet.run("publish", PORT);
            assertThat(run.exitCode()).as(run.err()).isEqualTo(ExitCodes.OK);
            assertThat(run.out()).startsWith("accepted, version 1");
            assertThat(run.err()).contains("in force on 0 of 2").contains("in force on 2 of 2");
        }

        /** Guards against a dead instance that is passed over, or that keeps its name from the operator. */
        @Test
        void namesTheInstancesThatDoNotConfirm() {
            fleet.trackers.remove("sidecar-1");
            Run run = fleet.run("publish", PORT);
            assertThat(run.exitCode()).isEqualTo(ExitCodes.NOT_YET_IN_FORCE);
            assertThat(run.out()).contains("missing: sidecar-1").contains("status --wait-version 1");
            assertThat(fleet.run("status", "--wait-version", "1").exitCode()).isEqualTo(ExitCodes.NOT_YET_IN_FORCE);
        }

        /** Guards against a wait for an instance that the list has dropped in the meantime. */
        @Test
        void doesNotWaitForAnInstanceThatTheListDrops() {
            fleet.trackers.remove("sidecar-1");
            fleet.atPause =
                    () -> fleet.instances.removeIf(instance -> instance.id().equals("sidecar-1"));
            assertThat(fleet.run("publish", PORT).exitCode()).isEqualTo(ExitCodes.OK);
        }

        /** Guards against an accepted configuration although nobody knows where it is in force. */
        @Test
        void needsTheInstanceList() {
            fleet.listAvailable = false;
            assertThat(fleet.run("publish", PORT).exitCode()).isEqualTo(ExitCodes.NOT_YET_IN_FORCE);
        }

        /** Guards against a new version for each repetition of the same command. */
        @Test
        void ofTheContentInForcePublishesNothing() {
            fleet.run("publish", PORT);
            assertThat(fleet.run("publish", PORT).exitCode()).isEqualTo(ExitCodes.OK);
            assertThat(versionOf("entry-1")).isEqualTo(1);
        }
    }

    @Nested
    class Races {
        /** Guards against a loser who believes to have published, or whose update takes effect. */
        @Test
        void areLostByTheSecondRecord() {
            fleet.beforeAppend = () -> publishAsAnother(0);
            Run run = fleet.run("publish", PORT);
            assertThat(run.exitCode()).as(run.err()).isEqualTo(ExitCodes.LOST_RACE);
            assertThat(run.out()).startsWith("lost the race, version 1");
            assertThat(inForce().drained()).containsExactly("other");
        }

        /** Guards against a loser who believes to have won because another record came first by accident. */
        @Test
        void areWonAgainstARecordOnAnotherBase() {
            fleet.beforeAppend = () -> publishAsAnother(5);
            assertThat(fleet.run("publish", PORT).exitCode()).isEqualTo(ExitCodes.OK);
            assertThat(inForce().ranks()).hasSize(3);
        }

        /** Guards against a race that is called lost, or won, although the response to the append was lost too. */
        @Test
        void areDecidedByTheStreamWhenTheResponseIsLost() {
            fleet.beforeAppend = () -> {
                publishAsAnother(0);
                fleet.log.loseAppendResponses(1);
            };
            assertThat(fleet.run("publish", PORT).exitCode()).isEqualTo(ExitCodes.LOST_RACE);
        }
    }

    @Nested
    class Faults {
        /** Guards against a committed configuration that is reported as failed, or published twice. */
        @Test
        void lostResponsesDoNotHideTheResult() {
            fleet.log.loseAppendResponses(1);
            Run run = fleet.run("publish", PORT);
            assertThat(run.exitCode()).as(run.err()).isEqualTo(ExitCodes.OK);
            assertThat(versionOf("entry-1")).isEqualTo(1);
            assertThat(fleet.log.records(Streams.CONFIG)).hasSize(1);
        }

        /** Guards against a claim that nothing was published when the record may be in the log. */
        @Test
        void anOutageAfterALostResponseLeavesTheResultOpen() {
            fleet.log.loseAppendResponses(1);
            fleet.afterAppend = () -> fleet.log.setAvailable(false);
            Run run = fleet.run("publish", PORT);
            assertThat(run.exitCode()).isEqualTo(ExitCodes.UNAVAILABLE);
            assertThat(run.out()).startsWith("result unknown");
            fleet.log.setAvailable(true);
            assertThat(fleet.run("publish", PORT).exitCode()).isEqualTo(ExitCodes.OK);
            assertThat(versionOf("entry-1")).isEqualTo(1);
        }

        /** Guards against an operator who must wait for an outage to end to learn that nothing was published. */
        @Test
        void anOutageMeansThatNothingIsPublished() {
            fleet.beforeAppend = () -> fleet.log.setAvailable(false);
            Run run = fleet.run("publish", PORT);
            assertThat(run.exitCode()).isEqualTo(ExitCodes.UNAVAILABLE);
            assertThat(run.out()).startsWith("not published");
            fleet.log.setAvailable(true);
            assertThat(versionOf("entry-1")).isZero();
        }

        /** Guards against a publisher that guesses the version in force when the log has lost its start. */
        @Test
        void aLogWithoutItsStartNeedsAnInstance() {
            fleet.run("publish", PORT);
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
        /** Guards against a publication that sends work to an upstream which an operator has drained. */
        @Test
        void upstreamsStayDrainedWhenAFolderIsPublished() throws IOException {
            fleet.run("publish", PORT);
            assertThat(fleet.run("drain", "engine-1").exitCode()).isEqualTo(ExitCodes.OK);
            Files.writeString(folder.resolve("10.yaml"), "limits:\n  max_tokens: 7\n");
            assertThat(fleet.run("publish", folder.toString()).exitCode()).isEqualTo(ExitCodes.OK);
            assertThat(inForce().drained()).containsExactly("engine-1");
            assertThat(inForce().limits().maxTokens()).isEqualTo(7);
            assertThat(fleet.run("undrain", "engine-1").exitCode()).isEqualTo(ExitCodes.OK);
            assertThat(inForce().drained()).isEmpty();
        }

        /** Guards against a mistyped name that drains nothing, silently. */
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
        /** Guards against settings that are found wrong one by one, in the middle of the work. */
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
                    PORT);
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
            assertThat(fleet.run(environment, "", "publish", PORT).exitCode()).isEqualTo(ExitCodes.USAGE);
            Run run = fleet.run(environment, "", "publish", "--wait", "1s", PORT);
            assertThat(run.exitCode()).isEqualTo(ExitCodes.OK);
            assertThat(run.out()).contains("\"outcome\" : \"ACCEPTED\"");
        }
    }

    /** Guards against an instance that is about to leave and holds up an acceptance. */
    @Test
    void leavingInstancesAreNotWaitedFor() {
        Instance last = fleet.instances.remove(1);
        fleet.instances.add(new Instance(
                last.id(),
                last.role(),
                last.region(),
                last.dataCentre(),
                last.host(),
                0,
                0,
                last.peerPort(),
                Instance.State.LEAVING,
                last.upstream()));
        ConfigTracker gone = fleet.trackers.remove(last.id());
        assertThat(fleet.run("publish", PORT).exitCode()).isEqualTo(ExitCodes.OK);
        assertThat(gone.version()).isZero();
    }
}
