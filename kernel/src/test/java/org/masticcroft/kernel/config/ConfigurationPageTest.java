package org.masticcroft.kernel.config;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.io.IOException;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeSet;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.masticcroft.kernel.id.WeightsDigest;

/** Checks {@code docs/CONFIGURATION.md} against the code. */
class ConfigurationPageTest {
    private static final Pattern YAML_FILE = Pattern.compile("`([^`]+\\.yaml)`:\n\n```yaml\n(.*?)```", Pattern.DOTALL);
    private static final PolicyNames ANY_POLICY = new PolicyNames(new TreeSet<>(), new TreeSet<>(), new TreeSet<>());

    private String page;

    @TempDir
    private Path folder;

    @BeforeEach
    void readPage() throws IOException {
        page = Files.readString(Path.of("..", "docs", "CONFIGURATION.md"));
    }

    /** Guards against an example that operators copy and the loader rejects. */
    @Test
    void theCompleteExampleIsValidAndMerges() throws IOException {
        for (MatchResult file : YAML_FILE.matcher(page).results().toList()) {
            Files.writeString(folder.resolve(file.group(1)), file.group(2));
        }
        ConfigResult result = ConfigLoader.load(folder, ANY_POLICY);
        assertThat(result).isInstanceOf(ConfigResult.Valid.class);
        ConfigResult.Valid valid = (ConfigResult.Valid) result;
        assertThat(valid.config().ranks().get("live").queueLimit()).isEqualTo(400);
        assertThat(valid.provenance().file("ranks.live.queue_limit")).contains("20-storm-season.yaml");
    }

    /** Guards against a key that the page does not document. */
    @Test
    void everyKeyIsListed() {
        List<String> keys = new ArrayList<>();
        addKeys(keys, FleetConfig.class);
        assertThat(keys).hasSizeGreaterThan(25);
        for (String key : keys) {
            String row = "| `[a-z_<>.\\[\\]]*" + Pattern.quote(key) + "` |";
            assertThat(Pattern.compile(row.replace("|", "\\|")).matcher(page).find())
                    .as(key)
                    .isTrue();
        }
    }

    /** Guards against an undocumented problem code, and against a documented code that does not exist. */
    @Test
    void everyProblemCodeIsListed() {
        assertThat(Pattern.compile("^\\| `([A-Z_]+)` \\|", Pattern.MULTILINE)
                        .matcher(page)
                        .results()
                        .map(row -> row.group(1)))
                .containsExactly(
                        Arrays.stream(ProblemCode.values()).map(Enum::name).toArray(String[]::new));
    }

    private static void addKeys(List<String> keys, Type type) {
        if (type instanceof ParameterizedType generic) {
            Type[] arguments = generic.getActualTypeArguments();
            addKeys(keys, arguments[arguments.length - 1]);
        } else if (type instanceof Class<?> rawType && rawType.isRecord() && rawType != WeightsDigest.class) {
            for (RecordComponent component : rawType.getRecordComponents()) {
                int before = keys.size();
                addKeys(keys, component.getGenericType());
                if (keys.size() == before) {
                    keys.add(component
                            .getAccessor()
                            .getAnnotation(JsonProperty.class)
                            .value());
                }
            }
        }
    }
}
