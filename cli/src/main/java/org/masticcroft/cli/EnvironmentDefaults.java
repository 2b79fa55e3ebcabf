package org.masticcroft.cli;

import java.util.Locale;
import java.util.Map;
import picocli.CommandLine;
import picocli.CommandLine.Model.ArgSpec;
import picocli.CommandLine.Model.OptionSpec;

/**
 * Reads settings that are not given as flags from environment variables; a setting without a variable has its default.
 * A setting is an option with a default value. Other options, such as a version to wait for, have no variable.
 */
final class EnvironmentDefaults implements CommandLine.IDefaultValueProvider {
    private static final String PREFIX = "MASTICCROFT_";

    private final Map<String, String> environment;

    EnvironmentDefaults(Map<String, String> environment) {
        this.environment = environment;
    }

    /** Returns the name of the variable for a flag, for example {@code MASTICCROFT_LOG_URL} for {@code --log-url}. */
    static String variableName(String flag) {
        return PREFIX + flag.replaceFirst("^-+", "").replace('-', '_').toUpperCase(Locale.ROOT);
    }

    @Override
    public String defaultValue(ArgSpec argument) {
        if (!(argument instanceof OptionSpec option)) {
            return null;
        }
        boolean isSetting = option.defaultValue() != null;
        return isSetting ? environment.get(variableName(option.longestName())) : null;
    }
}
