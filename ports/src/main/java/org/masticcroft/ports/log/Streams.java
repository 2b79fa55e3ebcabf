package org.masticcroft.ports.log;

/** Names of the log streams. */
public final class Streams {
    public static final String CONFIG = "config";
    public static final String CLAIMS = "claims";
    public static final String LEASES = "leases";
    public static final String ACCOUNT = "account";

    private Streams() {}
}
