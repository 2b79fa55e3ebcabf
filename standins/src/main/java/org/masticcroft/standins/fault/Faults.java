package org.masticcroft.standins.fault;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.BooleanNode;
import com.fasterxml.jackson.databind.node.DoubleNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.LongNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * The named fault switches of one stand-in. A value is a boolean or a number; a switch that is off has its default
 * value.
 */
public final class Faults {
    private final Map<String, JsonNode> defaults;
    private final Map<String, JsonNode> values;
    private final SplittableRandom random;

    private Faults(Map<String, JsonNode> defaults, long seed) {
        this.defaults = new TreeMap<>(defaults);
        this.values = new TreeMap<>(defaults);
        this.random = new SplittableRandom(seed);
    }

    /**
     * Creates switches with their default values.
     *
     * @param defaults value of each switch when off: a {@code Boolean}, {@code Long} or {@code Double}
     * @param seed seed for faults that occur with a probability
     */
    public static Faults of(Map<String, Object> defaults, long seed) {
        Map<String, JsonNode> nodes = new TreeMap<>();
        defaults.forEach((name, value) -> nodes.put(name, toNode(value)));
        return new Faults(nodes, seed);
    }

    /** Returns whether a switch is on. */
    public synchronized boolean isOn(String name) {
        return value(name).asBoolean();
    }

    /** Returns the value of a numeric switch. */
    public synchronized long number(String name) {
        return value(name).asLong();
    }

    /** Decides at random whether a fault occurs now; the value of its switch is the probability from 0 to 1. */
    public synchronized boolean occurs(String name) {
        double probability = value(name).asDouble();
        return probability > 0 && random.nextDouble() < probability;
    }

    /** Decrements a counting switch and returns whether it was above zero. */
    public synchronized boolean consume(String name) {
        long remaining = value(name).asLong();
        if (remaining <= 0) {
            return false;
        }
        values.put(name, LongNode.valueOf(remaining - 1));
        return true;
    }

    /**
     * Sets switches; {@code null} resets a switch to its default.
     *
     * @throws IllegalArgumentException if a name is unknown or a value has the wrong type; then nothing is changed
     */
    public synchronized void set(ObjectNode changes) {
        changes.properties().forEach(change -> validate(change.getKey(), change.getValue()));
        changes.properties()
                .forEach(change -> values.put(
                        change.getKey(),
                        change.getValue().isNull() ? defaults.get(change.getKey()) : change.getValue()));
    }

    /** Sets one switch from its text form, as given on the command line. */
    public void set(String name, String text) {
        ObjectNode change = JsonNodeFactory.instance.objectNode();
        if (text.equals("true") || text.equals("false")) {
            change.put(name, Boolean.parseBoolean(text));
        } else if (text.contains(".")) {
            change.put(name, Double.parseDouble(text));
        } else {
            change.put(name, Long.parseLong(text));
        }
        set(change);
    }

    /** Returns all switches with their values. */
    public synchronized ObjectNode toJson() {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        values.forEach(json::set);
        return json;
    }

    private JsonNode value(String name) {
        JsonNode value = values.get(name);
        if (value == null) {
            throw new IllegalArgumentException("unknown fault " + name);
        }
        return value;
    }

    private void validate(String name, JsonNode value) {
        JsonNode defaultValue = defaults.get(name);
        if (defaultValue == null) {
            throw new IllegalArgumentException("unknown fault " + name + ", known are " + defaults.keySet());
        }
        if (!value.isNull() && value.isBoolean() != defaultValue.isBoolean()) {
            throw new IllegalArgumentException("fault " + name + " takes a value of the same type as its default "
                    + defaultValue + ", not " + value);
        }
    }

    private static JsonNode toNode(Object value) {
        if (value instanceof Boolean flag) {
            return BooleanNode.valueOf(flag);
        }
        if (value instanceof Double number) {
            return DoubleNode.valueOf(number);
        }
        return LongNode.valueOf(((Number) value).longValue());
    }
}
