package org.masticcroft.kernel.config;

/** Builds the dotted keys of configuration values, such as {@code models.harbour.versions."1.2".size}. */
public final class ConfigKey {
    private ConfigKey() {}

    /** Returns the key of {@code name} below {@code parent}. A name that contains a dot is quoted. */
    public static String child(String parent, String name) {
        String segment = name.indexOf('.') >= 0 ? '"' + name + '"' : name;
        return parent.isEmpty() ? segment : parent + '.' + segment;
    }

    /** Returns the key of the value at a path of names from the root. */
    public static String of(String... names) {
        String key = "";
        for (String name : names) {
            key = child(key, name);
        }
        return key;
    }
}
