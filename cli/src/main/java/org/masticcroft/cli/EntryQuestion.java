package org.masticcroft.cli;

import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.kernel.verdict.Verdict;
import picocli.CommandLine.Option;

/** Asks an entry over its metrics port where a request would be sent now. Nothing is sent to an upstream. */
final class EntryQuestion {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    @Option(names = "--entry", required = true, paramLabel = "IP:PORT", description = "Metrics address of the entry.")
    private String entry;

    @Option(names = "--host", required = true, paramLabel = "HOST", description = "Host header of the request.")
    private String host;

    @Option(names = "--path", required = true, paramLabel = "PATH", description = "Path of the request.")
    private String path;

    @Option(
            names = "--customer",
            paramLabel = "NAME",
            description = "Customer whose key the request has; needed on routes that are not anonymous.")
    private String customer = "";

    @Option(
            names = "--prompt-tokens",
            paramLabel = "N",
            description = "Prompt tokens of the request; 0 or nothing if it is not for a model.")
    private int promptTokens;

    /** Prints the answer of the entry and returns the exit code. */
    int ask(OutputOption output) {
        HttpResponse<String> response = send();
        if (response.statusCode() != 200) {
            output.printMessage("the entry does not accept the question: status " + response.statusCode());
            return ExitCodes.PROBLEM;
        }
        List<String> lines = response.body().lines().toList();
        output.print(lines, out -> lines.forEach(out::println));
        return ExitCodes.OK;
    }

    private HttpResponse<String> send() {
        String query = "host=" + encode(host) + "&path=" + encode(path) + "&customer=" + encode(customer)
                + "&prompt-tokens=" + promptTokens;
        try {
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + entry + "/explain?" + query))
                    .timeout(TIMEOUT)
                    .build();
            return HttpClient.newBuilder()
                    .connectTimeout(TIMEOUT)
                    .build()
                    .send(request, HttpResponse.BodyHandlers.ofString());
        } catch (IOException | IllegalArgumentException e) {
            throw unreachable(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw unreachable(e);
        }
    }

    private MasticcroftException unreachable(Exception cause) {
        return MasticcroftException.of(
                ErrorCode.PEER_UNREACHABLE, Verdict.NOT_RUN, "entry " + entry + " does not answer", cause);
    }

    private static String encode(String value) {
        return URLEncoder.encode(value, StandardCharsets.UTF_8);
    }
}
