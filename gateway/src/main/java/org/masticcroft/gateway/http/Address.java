package org.masticcroft.gateway.http;

import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * IP address and port of a process.
 *
 * @param ip IP address in text form
 * @param port TCP or UDP port, from 1 to 65535
 */
public record Address(String ip, int port) {
    private static final int MAX_PORT = 65_535;

    public Address {
        Objects.requireNonNull(ip, "ip");
        if (ip.isEmpty() || port < 1 || port > MAX_PORT) {
            throw new IllegalArgumentException("invalid address: " + ip + ":" + port);
        }
    }

    /**
     * Parses {@code IP:PORT}.
     *
     * @throws IllegalArgumentException if the text has another form
     */
    public static Address parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("address is not of the form IP:PORT: " + text);
        }
        return new Address(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /** Returns the socket address; an IP literal needs no DNS lookup. */
    public InetSocketAddress socketAddress() {
        return new InetSocketAddress(ip, port);
    }

    @Override
    public String toString() {
        return ip + ":" + port;
    }
}
