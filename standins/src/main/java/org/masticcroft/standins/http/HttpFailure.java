package org.masticcroft.standins.http;

/** Ends a call with an HTTP status and an error code. */
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

    /** Returns the error code for the body. */
    public String code() {
        return code;
    }
}
