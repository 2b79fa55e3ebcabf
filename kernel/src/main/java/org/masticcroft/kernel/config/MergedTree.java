package org.masticcroft.kernel.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;

/** Deep-merges the content of several files and records which file set each value. */
final class MergedTree {
    private final ObjectNode root = JsonNodeFactory.instance.objectNode();
    private final Map<String, String> fileByKey = new TreeMap<>();

    ObjectNode root() {
        return root;
    }

    Provenance provenance() {
        return Provenance.of(fileByKey);
    }

    /** Merges the content of a file; its values replace those of earlier files. */
    void add(String file, ObjectNode content) {
        merge(file, "", root, content);
    }

    private void merge(String file, String key, ObjectNode target, ObjectNode source) {
        for (Map.Entry<String, JsonNode> property : source.properties()) {
            String childKey = ConfigKey.child(key, property.getKey());
            JsonNode value = property.getValue();
            JsonNode previous = target.get(property.getKey());
            if (value.isObject()) {
                fileByKey.put(childKey, file);
                ObjectNode child = previous != null && previous.isObject()
                        ? (ObjectNode) previous
                        : JsonNodeFactory.instance.objectNode();
                target.set(property.getKey(), child);
                merge(file, childKey, child, (ObjectNode) value);
            } else {
                // The value may replace a map of an earlier file, whose keys are then gone.
                fileByKey.keySet().removeIf(existing -> existing.startsWith(childKey + '.'));
                fileByKey.put(childKey, file);
                target.set(property.getKey(), value);
            }
        }
    }
}
