package org.masticcroft.kernel.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

class ConfigRecordTest {
    private static ConfigRecord.Update update() {
        ConfigResult.Valid example = (ConfigResult.Valid) ConfigLoader.load(Path.of("..", "examples", "port"));
        return new ConfigRecord.Update("id", 3, "operator", example.config());
    }

    /** Guards against a record that loses a part of the configuration when it is encoded and decoded. */
    @Test
    void decodesWhatItEncodes() {
        ConfigRecord.Update update = update();
        ConfigRecord.Snapshot snapshot = new ConfigRecord.Snapshot(4, 17, update.config());
        assertThat(ConfigRecord.decode(update.encode())).contains(update);
        assertThat(ConfigRecord.decode(snapshot.encode())).contains(snapshot);
    }

    /** Guards against processes of different releases that disagree on whether a record takes effect. */
    @Test
    void ignoresPropertiesOfALaterRelease() {
        String json = new String(update().encode(), StandardCharsets.UTF_8);
        String laterRelease =
                json.replaceFirst("\\{", "{\"added_later\":1,").replace("\"config\":{", "\"config\":{\"new\":[],");
        assertThat(ConfigRecord.decode(laterRelease.getBytes(StandardCharsets.UTF_8)))
                .contains(update());
    }

    /** Guards against a damaged record that stops every reader of the stream. */
    @Test
    void rejectsOtherData() {
        for (String data : new String[] {
            "",
            "x",
            "null",
            "[]",
            "{}",
            "{\"kind\":\"other\"}",
            "{\"kind\":\"update\",\"base\":1}",
            "{\"kind\":\"update\",\"publish_id\":\"p\",\"base\":-1,\"config\":{}}"
        }) {
            assertThat(ConfigRecord.decode(data.getBytes(StandardCharsets.UTF_8)))
                    .as(data)
                    .isEmpty();
        }
    }
}
