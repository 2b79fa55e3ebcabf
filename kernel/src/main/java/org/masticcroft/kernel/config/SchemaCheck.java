package org.masticcroft.kernel.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JavaType;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.type.TypeFactory;
import java.lang.reflect.Field;
import java.lang.reflect.RecordComponent;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.masticcroft.kernel.id.WeightsDigest;

/**
 * Checks a tree of values against the configuration records: known keys, required keys and types. Values that do not
 * fit are removed from the tree, so that the rest can be deserialised and validated in the same run. Jackson alone
 * stops at the first key that does not fit, but operators need all problems of a folder at once.
 */
final class SchemaCheck {
    private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,127}");

    private static final TypeFactory TYPES = TypeFactory.defaultInstance();

    private final ProblemList problems;

    SchemaCheck(ProblemList problems) {
        this.problems = problems;
    }

    /** Reports all problems of {@code root} and removes the invalid values. */
    void check(ObjectNode root) {
        checkRecord("", root, FleetConfig.class);
    }

    /** Removes nested values that do not fit, and returns whether {@code node} itself fits {@code type}. */
    private boolean fits(String key, JsonNode node, JavaType type) {
        Class<?> rawType = type.getRawClass();
        if (node.isNull()) {
            return reportUnlessFits(key, false, ProblemCode.TYPE_INVALID, "has no value");
        }
        if (rawType == Optional.class) {
            return fits(key, node, type.containedTypeOrUnknown(0));
        }
        if (Map.class.isAssignableFrom(rawType)) {
            return checkType(key, node.isObject(), "a map") && checkMap(key, (ObjectNode) node, type.getContentType());
        }
        if (Collection.class.isAssignableFrom(rawType)) {
            return checkType(key, node.isArray(), "a list") && checkList(key, (ArrayNode) node, type.getContentType());
        }
        if (rawType.isRecord() && rawType != WeightsDigest.class) {
            return checkType(key, node.isObject(), "a map") && checkRecord(key, (ObjectNode) node, rawType);
        }
        return fitsScalar(key, node, rawType);
    }

    private boolean checkRecord(String key, ObjectNode node, Class<?> type) {
        Map<String, RecordComponent> components = components(type);
        Set<String> reportedNames = new HashSet<>();
        for (Map.Entry<String, JsonNode> property : List.copyOf(node.properties())) {
            String childKey = ConfigKey.child(key, property.getKey());
            RecordComponent component = components.get(property.getKey());
            if (component == null) {
                problems.add(
                        ProblemCode.KEY_UNKNOWN,
                        childKey,
                        "unknown key; known here: " + String.join(", ", components.keySet()));
                node.remove(property.getKey());
            } else if (!fits(childKey, property.getValue(), TYPES.constructType(component.getGenericType()))) {
                node.remove(property.getKey());
                reportedNames.add(property.getKey());
            }
        }
        components.forEach((name, component) -> {
            if (jsonProperty(component).required() && !node.has(name) && !reportedNames.contains(name)) {
                problems.add(ProblemCode.KEY_MISSING, ConfigKey.child(key, name), "required key is missing");
            }
        });
        return true;
    }

    private boolean checkMap(String key, ObjectNode node, JavaType valueType) {
        for (Map.Entry<String, JsonNode> property : List.copyOf(node.properties())) {
            String childKey = ConfigKey.child(key, property.getKey());
            if (!NAME_PATTERN.matcher(property.getKey()).matches()) {
                problems.add(
                        ProblemCode.NAME_INVALID,
                        childKey,
                        "a name starts with a letter or digit and has at most 128 letters, digits, '.', '_' or '-'");
            }
            if (!fits(childKey, property.getValue(), valueType)) {
                node.remove(property.getKey());
            }
        }
        return true;
    }

    private boolean checkList(String key, ArrayNode node, JavaType elementType) {
        List<JsonNode> kept = new ArrayList<>();
        for (int i = 0; i < node.size(); i++) {
            if (fits(key + '[' + i + ']', node.get(i), elementType)) {
                kept.add(node.get(i));
            }
        }
        node.removeAll();
        node.addAll(kept);
        return true;
    }

    private boolean fitsScalar(String key, JsonNode node, Class<?> type) {
        if (type == String.class) {
            return checkType(key, node.isTextual(), "a text; put a number or a date in quotes");
        }
        if (type == int.class) {
            return checkType(key, node.isIntegralNumber() && node.canConvertToInt(), "a whole number");
        }
        if (type == long.class) {
            return checkType(key, node.isIntegralNumber() && node.canConvertToLong(), "a whole number");
        }
        if (type == double.class) {
            return checkType(key, node.isNumber() && Double.isFinite(node.asDouble()), "a number");
        }
        if (type == boolean.class) {
            return checkType(key, node.isBoolean(), "true or false");
        }
        if (type.isEnum()) {
            List<String> names = enumNames(type);
            return checkType(
                    key, node.isTextual() && names.contains(node.asText()), "one of " + String.join(", ", names));
        }
        return checkType(key, node.isTextual(), "a text") && fitsText(key, node.asText(), type);
    }

    private boolean fitsText(String key, String text, Class<?> type) {
        if (type == Duration.class) {
            boolean valid = DurationText.parse(text).isPresent();
            return reportUnlessFits(
                    key, valid, ProblemCode.DURATION_INVALID, "must be a duration such as 1300ms, 5s or 2m");
        }
        if (type == WeightsDigest.class) {
            boolean valid = WeightsDigest.isValid(text);
            return reportUnlessFits(
                    key, valid, ProblemCode.DIGEST_INVALID, "must be sha256: and 64 lower-case hex digits");
        }
        throw new IllegalStateException("no schema check for values of type " + type.getName());
    }

    private boolean checkType(String key, boolean fits, String expected) {
        return reportUnlessFits(key, fits, ProblemCode.TYPE_INVALID, "must be " + expected);
    }

    private boolean reportUnlessFits(String key, boolean fits, ProblemCode code, String reason) {
        if (!fits) {
            problems.add(code, key, reason);
        }
        return fits;
    }

    private static Map<String, RecordComponent> components(Class<?> type) {
        Map<String, RecordComponent> components = new LinkedHashMap<>();
        for (RecordComponent component : type.getRecordComponents()) {
            components.put(jsonProperty(component).value(), component);
        }
        return components;
    }

    /** Reads the annotation from the accessor, because {@code @JsonProperty} is not retained on record components. */
    private static JsonProperty jsonProperty(RecordComponent component) {
        return component.getAccessor().getAnnotation(JsonProperty.class);
    }

    private static List<String> enumNames(Class<?> type) {
        return Arrays.stream(type.getFields())
                .filter(Field::isEnumConstant)
                .map(field -> field.getAnnotation(JsonProperty.class).value())
                .collect(Collectors.toList());
    }
}
