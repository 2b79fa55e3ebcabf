package org.masticcroft.standins.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/** Creates, parses and serializes JSON trees. */
public final class Json {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    /** Returns a new empty object. */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /** Returns a new empty array. */
    public static ArrayNode array() {
        return MAPPER.createArrayNode();
    }

    /**
     * Parses a JSON document.
     *
     * @throws HttpFailure with status 400 if {@code data} is not JSON
     */
    public static JsonNode parse(byte[] data) {
        try {
            JsonNode node = MAPPER.readTree(data);
            if (node == null || node.isMissingNode()) {
                throw HttpFailure.of(400, "malformed", "empty body");
            }
            return node;
        } catch (IOException e) {
            throw HttpFailure.of(400, "malformed", e.getMessage());
        }
    }

    /**
     * Parses a JSON object.
     *
     * @throws HttpFailure with status 400 if {@code data} is not a JSON object
     */
    public static ObjectNode parseObject(byte[] data) {
        if (parse(data) instanceof ObjectNode object) {
            return object;
        }
        throw HttpFailure.of(400, "malformed", "a JSON object is expected");
    }

    /** Serializes a tree. */
    public static byte[] bytes(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize the JSON tree", e);
        }
    }
}
