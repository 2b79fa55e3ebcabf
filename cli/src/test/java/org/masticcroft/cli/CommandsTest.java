package org.masticcroft.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.masticcroft.cli.TestFleet.Run;
import org.masticcroft.kernel.config.VersionConfig;
import org.masticcroft.wire.generated.ReadyModel;
import org.masticcroft.wire.generated.StatusReply;
import org.masticcroft.wire.generated.UpstreamLoad;
import picocli.CommandLine;
import picocli.CommandLine.Model.OptionSpec;

class CommandsTest {
    private static final String EXAMPLE_FOLDER =
            Path.of("..", "examples", "port").toString();

    private final TestFleet fleet = new TestFleet();

    @TempDir
    private Path emptyFolder;

    @Nested
    class Help {
        /** Guards against unintended changes of commands, settings and exit codes, which break operators' scripts. */
        @Test
        void describesEveryCommand() {
            StringBuilder help = new StringBuilder(fleet.run("--help").out());
            for (String name :
                    Main.commandLine(CliContext.system()).getSubcommands().keySet()) {
                help.append('\n').append(fleet.run(name, "--help").out());
            }
            Approvals.verify(help);
        }

        /** Guards against a command without help or documented exit codes. */
        @Test
        void listsExitCodesForEveryCommand() {
            for (CommandLine command :
                    Main.commandLine(CliContext.system()).getSubcommands().values()) {
                assertThat(command.getCommandSpec().usageMessage().exitCodeList())
                        .as(command.getCommandName())
                        .containsKeys("0", "2");
            }
        }

        /** Guards against a setting that docs/CONFIGURATION.md does not describe. */
        @Test
        void namesOnlySettingsThatThePageDescribes() throws IOException {
            String page = Files.readString(Path.of("..", "docs", "CONFIGURATION.md"));
            List<OptionSpec> settings = Main.commandLine(CliContext.system()).getSubcommands().values().stream()
                    .flatMap(command -> command.getCommandSpec().options().stream())
                    .filter(option -> option.defaultValue() != null)
                    .toList();
            assertThat(settings)
                    .hasSizeGreaterThan(10)
                    .allSatisfy(option -> assertThat(page)
                            .contains("| `" + option.longestName() + "` | `"
                                    + EnvironmentDefaults.variableName(option.longestName()) + "` |"));
        }

        /** Guards against a mistyped command that does something else or ends with success. */
        @ParameterizedTest
        @ValueSource(strings = {"", "chek", "status --wait-version 0", "status --watch --wait-version 1", "check"})
        void isOfferedForAWrongCommandLine(String arguments) {
            Run run = fleet.run(arguments.isEmpty() ? new String[0] : arguments.split(" "));
            assertThat(run.exitCode()).isEqualTo(ExitCodes.USAGE);
            assertThat(run.err()).contains("--help");
        }
    }

    @Nested
    class Folders {
        /** Guards against a check that passes a bad folder, or hides its problems from scripts. */
        @Test
        void withProblemsFailTheCheck() {
            assertThat(fleet.run("check", EXAMPLE_FOLDER).exitCode()).isEqualTo(ExitCodes.OK);
            Run text = fleet.run("check", emptyFolder.toString());
            assertThat(text.exitCode()).isEqualTo(ExitCodes.PROBLEM);
            assertThat(text.out()).contains("[FOLDER_EMPTY]");
            Run json = fleet.run("check", "--output", "json", emptyFolder.toString());
            assertThat(json.out()).contains("\"valid\" : false").contains("\"code\" : \"FOLDER_EMPTY\"");
            assertThat(fleet.run("publish", emptyFolder.toString()).exitCode()).isEqualTo(ExitCodes.PROBLEM);
        }

        /** Guards against a merged value that an operator cannot trace to its file. */
        @Test
        void areShownWithTheFileOfEachValue() {
            Run run = fleet.run("show", EXAMPLE_FOLDER);
            assertThat(run.exitCode()).isEqualTo(ExitCodes.OK);
            assertThat(run.out())
                    .contains("ranks.live.first_token = 1300ms  # 10-ranks.yaml")
                    .contains("drained = []  # default");
        }
    }

    @Nested
    class InForce {
        /** Guards against a shown configuration that is not the one in force. */
        @Test
        void isShownFromTheLogOrFromAnInstance() {
            assertThat(fleet.run("show").out()).startsWith("version = 0");
            fleet.add("entry-1", Optional.empty());
            fleet.run("publish", EXAMPLE_FOLDER);
            assertThat(fleet.run("show").out()).startsWith("version = 1").contains("limits.max_tokens = 4096");
            fleet.log.setAvailable(false);
            Run duringOutage = fleet.run("show", "--output", "json");
            assertThat(duringOutage.out()).contains("\"version\" : 1");
            assertThat(duringOutage.err()).contains("unconfirmed");
            fleet.trackers.clear();
            assertThat(fleet.run("show").exitCode()).isEqualTo(ExitCodes.UNAVAILABLE);
        }
    }

    @Nested
    class Status {
        private StatusReply engineStatus(boolean ready) {
            VersionConfig deployed = fleet.trackers
                    .get("entry-1")
                    .state()
                    .config()
                    .models()
                    .get("quay-assistant")
                    .versions()
                    .get("2026-10");
            StatusReply.Builder reply = StatusReply.newBuilder()
                    .setLoad(
                            UpstreamLoad.newBuilder().setSlots(8).setInFlight(3).setQueued(1))
                    .setChunksHeld(ready ? 32 : 20)
                    .setChunksTotal(32);
            if (ready) {
                reply.addReady(ReadyModel.newBuilder()
                        .setModel("quay-assistant")
                        .setVersion("2026-10")
                        .setWeightsDigest(deployed.digest().value()));
            }
            return reply.build();
        }

        private void publish() {
            fleet.add("entry-1", Optional.empty());
            fleet.addEngine("sidecar-1", "engine-1");
            fleet.run("publish", EXAMPLE_FOLDER);
            fleet.statusReplies.put("sidecar-1", engineStatus(false));
        }

        /** Guards against a table that lacks what an operator needs during a rollout. */
        @Test
        void showsTheFleet() {
            publish();
            fleet.addEngine("sidecar-2", "engine-2");
            fleet.trackers.remove("sidecar-2");
            Run run = fleet.run("status");
            assertThat(run.exitCode()).isEqualTo(ExitCodes.PROBLEM);
            Approvals.verify(run.out());
        }

        /** Guards against a rollout that is reported as complete while an engine serves old weights. */
        @Test
        void watchesUntilEveryEngineIsReady() {
            publish();
            fleet.onSleep = () -> fleet.statusReplies.put("sidecar-1", engineStatus(true));
            Run run = fleet.run("status", "--watch");
            assertThat(run.exitCode()).isEqualTo(ExitCodes.OK);
            assertThat(run.err()).contains("0 of 1 engines ready; 20 of 32 chunks held");
            assertThat(run.out()).contains("1 of 1 engines ready");
            assertThat(fleet.run("status").exitCode()).isEqualTo(ExitCodes.OK);
        }

        /** Guards against reporting a healthy fleet while the log or the instance list is down. */
        @Test
        void failsWithoutThePlatform() {
            publish();
            fleet.log.setAvailable(false);
            assertThat(fleet.run("status").exitCode()).isEqualTo(ExitCodes.UNAVAILABLE);
            fleet.log.setAvailable(true);
            fleet.instanceListAvailable = false;
            assertThat(fleet.run("status").exitCode()).isEqualTo(ExitCodes.UNAVAILABLE);
            assertThat(fleet.run("status", "--wait-version", "1").exitCode()).isEqualTo(ExitCodes.UNAVAILABLE);
        }

        /** Guards against a wait that ends before the version is in force, or that never ends. */
        @Test
        void waitsForAVersion() {
            publish();
            assertThat(fleet.run("status", "--wait-version", "1").exitCode()).isEqualTo(ExitCodes.OK);
            assertThat(fleet.run("status", "--wait-version", "2").exitCode()).isEqualTo(ExitCodes.NOT_YET_IN_FORCE);
        }
    }

    @Nested
    class HashKey {
        /** Guards against a hash that includes the line end, or that is computed from no key at all. */
        @Test
        void hashesTheKeyAlone() {
            String hash = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
            assertThat(fleet.run(Map.of(), "abc\r\n", "hash-key").out()).isEqualTo(hash + System.lineSeparator());
            assertThat(fleet.run(Map.of(), "abc", "hash-key").out()).contains(hash);
            assertThat(fleet.run(Map.of(), "", "hash-key").exitCode()).isEqualTo(ExitCodes.PROBLEM);
            assertThat(fleet.run(Map.of(), "a key\n", "hash-key").exitCode()).isEqualTo(ExitCodes.PROBLEM);
        }
    }
}
