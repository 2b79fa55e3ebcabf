package org.masticcroft.kernel.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;

/** Deep merge of several files that remembers which file each value came from. */
final class MergedTree {
    private final ObjectNode root = JsonNodeFactory.instance.objectNode();
    private final Map<String, String> files = new TreeMap<>();

    ObjectNode root() {
        return root;
    }

    Provenance provenance() {
        return Provenance.of(files);
    }

    /** Merges the content of a file over what earlier files set. */
    void add(String file, ObjectNode content) {
        merge(file, "", root, content);
    }

    private void merge(String file, String key, ObjectNode target, ObjectNode source) {
        for (Map.Entry<String, JsonNode> property : source.properties()) {
            String childKey = ConfigKey.child(key, property.getKey());
            JsonNode value = property.getValue();
            JsonNode old = target.get(property.getKey());
            if (value.isObject()) {
                files.put(childKey, file);
                ObjectNode child =
                        old != null && old.isObject() ? (ObjectNode) old : JsonNodeFactory.instance.objectNode();
                target.set(property.getKey(), child);
                merge(file, childKey, child, (ObjectNode) value);
            } else {
                files.keySet().removeIf(other -> other.startsWith(childKey + '.'));
                files.put(childKey, file);
                target.set(property.getKey(), value);
            }
        }
    }
}
