package org.masticcroft.kernel.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ConfigLoaderTest {
    private static final Path EXAMPLES = Path.of("..", "examples");
    private static final PolicyNames POLICIES = new PolicyNames(
            new TreeSet<>(List.of("ranked-fair", "fifo")), new TreeSet<>(List.of("prefix-affinity")), new TreeSet<>());

    @TempDir
    private Path folder;

    private void file(String name, String content) throws IOException {
        Files.writeString(folder.resolve(name), content);
    }

    private ConfigResult load() {
        return ConfigLoader.load(folder, POLICIES);
    }

    private ConfigResult.Valid loadValid() {
        assertThat(load()).isInstanceOf(ConfigResult.Valid.class);
        return (ConfigResult.Valid) load();
    }

    private List<ConfigProblem> problems() {
        return ((ConfigResult.Invalid) load()).problems();
    }

    @Nested
    class Merging {
        @BeforeEach
        void files() throws IOException {
            file("20-late.yaml", "customers:\n  a:\n    weight: 2\n  b:\n    weight: 1\n");
            file(
                    "10-early.yaml",
                    "customers:\n  a:\n    weight: 5\n    requests_per_second: 7\nlimits:\n  max_tokens: 9\n");
            file("README.md", "customers: [");
        }

        /** Guards against a merge in another order than that of the file names, or one that drops other keys. */
        @Test
        void laterFilesReplaceScalarsAndKeepOtherKeys() {
            FleetConfig config = loadValid().config();
            assertThat(config.customers().get("a")).isEqualTo(new CustomerConfig(2, 7));
            assertThat(config.customers()).containsOnlyKeys("a", "b");
            assertThat(config.limits().maxTokens()).isEqualTo(9);
        }

        /** Guards against an operator being sent to the wrong file. */
        @Test
        void recordsWhichFileSetAValue() {
            Provenance provenance = loadValid().provenance();
            assertThat(provenance.file("customers.a.weight")).contains("20-late.yaml");
            assertThat(provenance.file("customers.a.requests_per_second")).contains("10-early.yaml");
            assertThat(provenance.file("limits.request_timeout")).isEmpty();
        }

        /** Guards against lists that are concatenated, which would keep a route that the operator removed. */
        @Test
        void laterFilesReplaceLists() throws IOException {
            String service = "services:\n  s:\n    group: g\n    routes:\n      - {method: GET, path: /%s}\n";
            file("30.yaml", service.formatted("old"));
            file("40.yaml", service.formatted("new"));
            List<ServiceConfig.RouteConfig> routes =
                    loadValid().config().services().get("s").routes();
            assertThat(routes).extracting(ServiceConfig.RouteConfig::path).containsExactly("/new");
        }

        /** Guards against durations that are read in the wrong unit. */
        @Test
        void durationsAreReadInTheirUnit() throws IOException {
            String rank = "{order: %d, share: 0, first_token: %s, queue_limit: 1}";
            file(
                    "30.yaml",
                    "ranks:\n  a: " + rank.formatted(0, "1300ms") + "\n  b: " + rank.formatted(1, "5s") + "\n  c: "
                            + rank.formatted(2, "2m") + "\n");
            assertThat(loadValid().config().ranks().values())
                    .extracting(RankConfig::firstToken)
                    .containsExactly(Duration.ofMillis(1300), Duration.ofSeconds(5), Duration.ofMinutes(2));
        }
    }

    @Nested
    class Problems {
        /** Guards against problems that are found only one per run, or reported without file, key or code. */
        @Test
        void areAllReportedInOneRun() throws IOException {
            for (String name : new String[] {"10-ranks.yaml", "20-callers.yaml", "30-models.yaml", "40-rest.yaml"}) {
                Files.copy(Path.of("src/test/resources/bad-folder", name), folder.resolve(name));
            }
            Approvals.verify(problems().stream().map(ConfigProblem::toString).collect(Collectors.joining("\n")));
        }

        /** Guards against a malformed file that hides the problems of other files. */
        @Test
        void ofOneFileDoNotHideThoseOfOthers() throws IOException {
            file("10.yaml", "customers: [");
            file("20.yaml", "- a\n");
            file("30.yaml", "limits:\n  max_tokens: 1\n  max_tokens: 2\n");
            file("40.yaml", "limits: {}\n---\nlimits: {}\n");
            file("50.yaml", "other: 1\n");
            file("60.yaml", "# only a comment\n");
            assertThat(problems())
                    .extracting(problem -> problem.file() + " " + problem.code())
                    .containsExactly(
                            "10.yaml FILE_MALFORMED",
                            "20.yaml FILE_MALFORMED",
                            "30.yaml FILE_MALFORMED",
                            "40.yaml FILE_MALFORMED",
                            "50.yaml KEY_UNKNOWN");
        }

        /** Guards against an exception, or an empty valid configuration, for a missing or empty folder. */
        @Test
        void includeAMissingOrEmptyFolder() throws IOException {
            assertThat(problems()).extracting(ConfigProblem::code).containsExactly(ProblemCode.FOLDER_EMPTY);
            file("10.yaml", "# only a comment\n");
            assertThat(problems()).extracting(ConfigProblem::code).containsExactly(ProblemCode.FOLDER_EMPTY);
            ConfigResult missing = ConfigLoader.load(folder.resolve("missing"), POLICIES);
            assertThat(((ConfigResult.Invalid) missing).problems())
                    .extracting(ConfigProblem::code)
                    .containsExactly(ProblemCode.FOLDER_UNREADABLE);
        }
    }

    /** Guards against examples that the loader rejects. */
    @ParameterizedTest
    @ValueSource(strings = {"port", "bulletin-house"})
    void examplesAreValidAndHaveTheExpectedSize(String name) {
        ConfigResult result = ConfigLoader.load(EXAMPLES.resolve(name), POLICIES);
        assertThat(result).isInstanceOf(ConfigResult.Valid.class);
        FleetConfig config = ((ConfigResult.Valid) result).config();
        assertThat(config.customers()).hasSize(10);
        assertThat(config.ranks()).hasSize(3);
        assertThat(config.services()).hasSize(2);
        assertThat(config.deployments()).hasSize(1);
    }
}
