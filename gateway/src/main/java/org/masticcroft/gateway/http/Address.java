package org.masticcroft.gateway.http;

import io.netty.util.NetUtil;
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
     * Parses {@code IP:PORT}. A host name is not accepted, because its lookup would block the event loop.
     *
     * @throws IllegalArgumentException if the text has another form
     */
    public static Address parse(String text) {
        int colon = text.lastIndexOf(':');
        String ip = text.substring(0, Math.max(0, colon));
        String port = text.substring(colon + 1);
        if (!isIpLiteral(ip) || !port.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new IllegalArgumentException("address is not of the form IP:PORT: " + text);
        }
        return new Address(ip, Integer.parseInt(port));
    }

    private static boolean isIpLiteral(String text) {
        return NetUtil.isValidIpV4Address(text) || NetUtil.isValidIpV6Address(text);
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
