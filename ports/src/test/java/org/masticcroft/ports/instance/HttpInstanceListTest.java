package org.masticcroft.ports.instance;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class HttpInstanceListTest {
    private static final String SIDECAR = "{\"id\":\"s1\",\"role\":\"sidecar\",\"region\":\"r\",\"data_centre\":\"d\","
            + "\"host\":\"127.0.0.1\",\"http_port\":0,\"admin_port\":2,\"peer_port\":3,\"state\":\"leaving\","
            + "\"upstream\":{\"id\":\"u1\",\"kind\":\"engine\",\"group\":\"g\"},\"added_later\":true}";
    private static final String ENTRY = "{\"id\":\"e1\",\"role\":\"entry\",\"region\":\"r\",\"data_centre\":\"d\","
            + "\"host\":\"127.0.0.1\",\"http_port\":1,\"admin_port\":2,\"peer_port\":3,\"state\":\"live\"}";

    private volatile String body = "{\"instances\":[" + SIDECAR + "," + ENTRY + "]}";
    private HttpServer server;
    private HttpInstanceList list;

    @BeforeEach
    void start() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        server.createContext("/instances", exchange -> {
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(200, bytes.length);
            exchange.getResponseBody().write(bytes);
            exchange.close();
        });
        server.start();
        list = HttpInstanceList.of(
                URI.create("http://127.0.0.1:" + server.getAddress().getPort()));
    }

    @AfterEach
    void stop() {
        list.close();
        server.stop(0);
    }

    /** Guards against a client that cannot parse the platform's list, including fields that it does not know. */
    @Test
    void readsTheList() {
        assertThat(list.refresh()).isTrue();
        assertThat(list.instances()).extracting(Instance::id).containsExactly("s1", "e1");
        assertThat(list.instances().get(0).state()).isEqualTo(Instance.State.LEAVING);
        assertThat(list.instances().get(0).upstream()).contains(new Instance.Upstream("u1", Instance.Kind.ENGINE, "g"));
        assertThat(list.instances().get(1).upstream()).isEmpty();
    }

    /** Guards against an outage of the instance list that empties the list of the client. */
    @Test
    void keepsTheLastListDuringAnOutage() {
        list.refresh();
        body = "{}";
        assertThat(list.refresh()).isFalse();
        server.stop(0);
        assertThat(list.refresh()).isFalse();
        assertThat(list.instances()).hasSize(2);
    }
}
