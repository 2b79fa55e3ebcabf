package org.masticcroft.service.http;

/**
 * Addresses and threads of the HTTP server.
 *
 * @param bind IP address to listen on
 * @param httpPort port for callers; -1 if the process does not serve callers
 * @param adminPort port for metrics and health checks
 * @param maxThreads largest number of server threads
 */
public record HttpSettings(String bind, int httpPort, int adminPort, int maxThreads) {
    private static final int NO_PORT = -1;

    /** Returns settings of a process that has an admin port only. */
    public static HttpSettings adminOnly(String bind, int adminPort, int maxThreads) {
        return new HttpSettings(bind, NO_PORT, adminPort, maxThreads);
    }

    /** Returns the Dropwizard configuration document for these settings. */
    String toYaml() {
        return httpPort == NO_PORT ? adminOnlyYaml() : fullYaml();
    }

    /** Compression is off because it would delay the events of a streamed response. */
    private String fullYaml() {
        return """
                server:
                  type: default
                  minThreads: 8
                  maxThreads: %d
                  requestLog: {appenders: []}
                  gzip: {enabled: false}
                  applicationConnectors:
                    - {type: draining-http, bindHost: %s, port: %d, idleTimeout: 120s}
                  adminConnectors:
                    - {type: http, bindHost: %s, port: %d, acceptorThreads: 1, selectorThreads: 1}
                %s""".formatted(maxThreads, bind, httpPort, bind, adminPort, loggingYaml());
    }

    private String adminOnlyYaml() {
        return """
                server:
                  type: simple
                  minThreads: 4
                  maxThreads: %d
                  applicationContextPath: /application
                  adminContextPath: /
                  requestLog: {appenders: []}
                  connector: {type: http, bindHost: %s, port: %d, acceptorThreads: 1, selectorThreads: 1}
                %s""".formatted(maxThreads, bind, adminPort, loggingYaml());
    }

    private static String loggingYaml() {
        return """
                logging:
                  level: WARN
                  loggers: {org.masticcroft: INFO}
                  appenders:
                    - {type: console, logFormat: "%d{ISO8601,UTC} %-5level [%thread] %msg%n%rEx"}
                """;
    }
}
