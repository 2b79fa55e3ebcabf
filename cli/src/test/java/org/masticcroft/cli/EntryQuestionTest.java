package org.masticcroft.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

class EntryQuestionTest {
    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int run(String... arguments) {
        CommandLine line = Main.commandLine(CliContext.system())
                .setOut(new PrintWriter(out))
                .setErr(new PrintWriter(err));
        return line.execute(arguments);
    }

    /** Guards against values that are lost on the way to the entry, and against an answer that is not printed. */
    @Test
    void isSentToTheEntryAndItsAnswerPrinted() throws IOException {
        List<String> queries = new ArrayList<>();
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        server.createContext("/explain", exchange -> {
            queries.add(exchange.getRequestURI().getRawQuery());
            byte[] answer = "decision=sent\n  upstream=e-1\n".getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(200, answer.length);
            exchange.getResponseBody().write(answer);
            exchange.close();
        });
        server.start();
        String entry = "127.0.0.1:" + server.getAddress().getPort();
        String[] arguments = {"explain", "--entry", entry, "--host", "h", "--path", "/a b", "--prompt-tokens", "7"};

        assertThat(run(arguments)).isEqualTo(ExitCodes.OK);
        assertThat(queries).containsExactly("host=h&path=%2Fa+b&customer=&prompt-tokens=7");
        assertThat(out.toString().lines()).containsExactly("decision=sent", "  upstream=e-1");
        server.stop(0);
        assertThat(run(arguments)).isEqualTo(ExitCodes.UNAVAILABLE);
    }

    @Test
    void excludesARequestId() {
        assertThat(run("explain", "--entry", "127.0.0.1:1", "--host", "h", "--path", "/", "id"))
                .isEqualTo(ExitCodes.USAGE);
        assertThat(err.toString()).contains("either REQUEST-ID or --entry must be given");
    }
}
