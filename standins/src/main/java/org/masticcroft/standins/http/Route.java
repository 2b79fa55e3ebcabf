package org.masticcroft.standins.http;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** A method and a path template such as {@code /streams/{stream}/records}; {@code *} matches any method or path. */
final class Route {
    private final String method;
    private final String[] segments;
    private final Handler handler;

    private Route(String method, String template, Handler handler) {
        this.method = method;
        this.segments = template.split("/", -1);
        this.handler = handler;
    }

    static Route of(String method, String template, Handler handler) {
        return new Route(method, template, handler);
    }

    Handler handler() {
        return handler;
    }

    Optional<Map<String, String>> match(String actualMethod, String path) {
        if (!method.equals("*") && !method.equals(actualMethod)) {
            return Optional.empty();
        }
        if (segments.length == 1 && segments[0].equals("*")) {
            return Optional.of(Map.of());
        }
        return matchSegments(path.split("/", -1));
    }

    private Optional<Map<String, String>> matchSegments(String[] actual) {
        if (actual.length != segments.length) {
            return Optional.empty();
        }
        Map<String, String> parameters = new LinkedHashMap<>();
        for (int i = 0; i < segments.length; i++) {
            String segment = segments[i];
            if (segment.startsWith("{")) {
                parameters.put(segment.substring(1, segment.length() - 1), actual[i]);
            } else if (!segment.equals(actual[i])) {
                return Optional.empty();
            }
        }
        return Optional.of(parameters);
    }
}
