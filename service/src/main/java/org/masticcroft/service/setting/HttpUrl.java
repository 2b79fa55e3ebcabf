package org.masticcroft.service.setting;

import java.net.URI;
import org.masticcroft.kernel.error.ErrorCode;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/** Converts the base URL of an HTTP service and removes a trailing slash. */
public final class HttpUrl implements ITypeConverter<URI> {
    @Override
    public URI convert(String value) {
        try {
            URI uri = URI.create(value.endsWith("/") ? value.substring(0, value.length() - 1) : value);
            if (("http".equals(uri.getScheme()) || "https".equals(uri.getScheme())) && uri.getHost() != null) {
                return uri;
            }
        } catch (IllegalArgumentException e) {
            // Reported below together with other schemes.
        }
        throw new TypeConversionException(ErrorCode.INVALID_SETTING + ": value '" + value
                + "', accepted: an http or https URL such as http://127.0.0.1:8080");
    }
}
