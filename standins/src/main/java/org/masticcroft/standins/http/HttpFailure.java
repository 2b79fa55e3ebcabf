package org.masticcroft.standins.http;

/** Thrown by a handler to respond with an HTTP status and a JSON error. */
public final class HttpFailure extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final int status;
    private final String code;

    private HttpFailure(int status, String code, String message) {
        super(message);
        this.status = status;
        this.code = code;
    }

    /** Creates a failure. */
    public static HttpFailure of(int status, String code, String message) {
        return new HttpFailure(status, code, message);
    }

    /** Returns the HTTP status. */
    public int status() {
        return status;
    }

    /** Returns the error code that the response body contains. */
    public String code() {
        return code;
    }
}
