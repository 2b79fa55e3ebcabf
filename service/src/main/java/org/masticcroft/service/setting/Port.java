package org.masticcroft.service.setting;

import org.masticcroft.kernel.error.ErrorCode;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/** Converts a TCP port; 0 selects a free port. */
public final class Port implements ITypeConverter<Integer> {
    private static final int MAX_PORT = 65535;

    @Override
    public Integer convert(String value) {
        try {
            int port = Integer.parseInt(value);
            if (port >= 0 && port <= MAX_PORT) {
                return port;
            }
        } catch (NumberFormatException e) {
            // Reported below together with values that are out of range.
        }
        throw new TypeConversionException(
                ErrorCode.INVALID_SETTING + ": value '" + value + "', accepted: a port from 0 to " + MAX_PORT);
    }
}
