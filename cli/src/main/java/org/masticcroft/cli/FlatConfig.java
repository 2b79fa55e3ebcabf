package org.masticcroft.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.masticcroft.kernel.config.ConfigJson;
import org.masticcroft.kernel.config.ConfigKey;
import org.masticcroft.kernel.config.FleetConfig;

/** Flattens a configuration to its values by dotted key, such as {@code limits.max_tokens}. */
final class FlatConfig {
    private FlatConfig() {}

    static SortedMap<String, String> of(FleetConfig config) {
        SortedMap<String, String> values = new TreeMap<>();
        add(values, "", ConfigJson.mapper().valueToTree(config));
        return values;
    }

    private static void add(SortedMap<String, String> values, String key, JsonNode node) {
        if (node.isObject()) {
            for (Map.Entry<String, JsonNode> property : node.properties()) {
                add(values, ConfigKey.child(key, property.getKey()), property.getValue());
            }
        } else if (!node.isNull()) {
            values.put(key, node.isTextual() ? node.asText() : node.toString());
        }
    }
}
