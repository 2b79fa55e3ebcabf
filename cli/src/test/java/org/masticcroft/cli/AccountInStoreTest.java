package org.masticcroft.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.masticcroft.account.batch.PayloadCodec;
import org.masticcroft.account.key.SigningKey;
import org.masticcroft.account.record.ChangeRecord;
import org.masticcroft.account.record.RequestRecord;
import org.masticcroft.account.writer.AccountListener;
import org.masticcroft.account.writer.AccountSettings;
import org.masticcroft.account.writer.LogAccountWriter;
import org.masticcroft.cli.fleet.Pause;
import org.masticcroft.cli.fleet.Platform;
import org.masticcroft.gateway.account.EntryAccountWriter;
import org.masticcroft.kernel.time.TimeSource;
import org.masticcroft.kernel.verdict.Verdict;
import org.masticcroft.platform.StoreConnection;
import org.masticcroft.standins.platform.PlatformStoreStandIn;

/** Commands on an account that lies in the platform's store. */
class AccountInStoreTest {
    private final PlatformStoreStandIn store = PlatformStoreStandIn.start();
    private final StringWriter out = new StringWriter();

    @TempDir
    private Path directory;

    @BeforeEach
    void write() {
        SigningKey.EncodedKeyPair key = SigningKey.generate();
        AccountSettings settings =
                new AccountSettings("entry-1", "entry", Duration.ofSeconds(1), Duration.ofMinutes(1), 1 << 20, 1 << 16);
        try (StoreConnection connection = StoreConnection.open("127.0.0.1", store.port(), TimeSource.system());
                LogAccountWriter writer = LogAccountWriter.of(
                        settings,
                        () -> SigningKey.parse(key.secret()),
                        connection.account(),
                        TimeSource.system(),
                        PayloadCodec.deflate(),
                        AccountListener.logging())) {
            writer.write(new ChangeRecord(
                    Instant.EPOCH,
                    EntryAccountWriter.SIGNING_KEY_KIND,
                    new TreeMap<>(Map.of("id", key.id(), "public", key.publicKey()))));
            writer.write(request("r-1"));
        }
    }

    @AfterEach
    void close() {
        store.close();
    }

    private static RequestRecord request(String id) {
        return new RequestRecord(
                id,
                "customer",
                "1.0",
                "service",
                Instant.EPOCH,
                Instant.EPOCH.plusMillis(80),
                2000,
                Optional.of("model"),
                Optional.of("3"),
                Optional.empty(),
                Optional.empty(),
                Optional.of("engine-7"),
                5,
                100,
                Verdict.RAN,
                Optional.empty(),
                200,
                "1".repeat(64),
                Optional.empty(),
                List.of());
    }

    private int run(String... arguments) {
        CliContext context = new CliContext(
                Map.of("MASTICCROFT_LOG_URL", "store://127.0.0.1:" + store.port()),
                Platform.http(),
                TimeSource.system(),
                Pause.sleeping(),
                new ByteArrayInputStream(new byte[0]));
        return Main.commandLine(context).setOut(new PrintWriter(out, true)).execute(arguments);
    }

    // Guards against an auditor who cannot get from a request to the model and the engine that served it.
    @Test
    void explainsARequest() {
        assertThat(run("explain", "r-1")).isZero();
        assertThat(out.toString()).contains("engine-7").contains("model");
    }

    @Test
    void exportsAndVerifiesWithTheKeysThatItStates() throws IOException {
        String file = directory.resolve("account.zst").toString();
        assertThat(run("account", "export", file)).isZero();
        out.getBuffer().setLength(0);
        assertThat(run("account", "keys", file)).isZero();
        Path keys = Files.writeString(directory.resolve("keys"), out.toString());
        out.getBuffer().setLength(0);
        assertThat(run("account", "verify", "--keys", keys.toString(), file)).isZero();
        assertThat(run("account", "report", "--keys", keys.toString(), file)).isZero();
        assertThat(out.toString()).contains("model").contains("customer");
    }

    @Test
    void knowsNothingOfOtherRequests() {
        assertThat(run("explain", "r-2")).isEqualTo(ExitCodes.PROBLEM);
    }
}
