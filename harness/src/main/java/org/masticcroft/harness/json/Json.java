package org.masticcroft.harness.json;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Reads and writes JSON with snake-case field names; fields with default values are omitted. */
public final class Json {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
            .serializationInclusion(JsonInclude.Include.NON_DEFAULT)
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
            .build();

    private Json() {}

    /** Returns a new empty object. */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /** Converts a value to a JSON object. */
    public static ObjectNode tree(Object value) {
        return MAPPER.valueToTree(value);
    }

    /**
     * Parses a JSON document.
     *
     * @throws IllegalArgumentException if {@code text} is not JSON
     */
    public static JsonNode parse(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("not JSON: " + e.getOriginalMessage(), e);
        }
    }

    /**
     * Converts a JSON tree to a value of the given type.
     *
     * @throws IllegalArgumentException if the tree does not match the type
     */
    public static <T> T value(JsonNode tree, Class<T> type) {
        try {
            return MAPPER.treeToValue(tree, type);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("not a " + type.getSimpleName() + ": " + e.getOriginalMessage(), e);
        }
    }

    /** Returns a JSON tree as one line of text. */
    public static String line(JsonNode tree) {
        return tree.toString();
    }
}
