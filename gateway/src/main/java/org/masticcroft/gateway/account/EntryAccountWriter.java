package org.masticcroft.gateway.account;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.masticcroft.account.batch.PayloadCodec;
import org.masticcroft.account.key.SigningKey;
import org.masticcroft.account.record.AuditRecord;
import org.masticcroft.account.record.ChangeRecord;
import org.masticcroft.account.writer.AccountListener;
import org.masticcroft.account.writer.AccountSettings;
import org.masticcroft.account.writer.AccountWriter;
import org.masticcroft.account.writer.LogAccountWriter;
import org.masticcroft.gateway.fleet.FleetStore;
import org.masticcroft.gateway.log.DecisionLog;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.time.TimeSource;

/**
 * Writes the account of an entry to the platform's store. The machine has no storage for secrets, so unless a signing
 * key is configured, each process generates one and publishes the public key in its first batch.
 */
public final class EntryAccountWriter implements AccountWriter {
    /** Kind of the change record that publishes the public key of a process. */
    public static final String SIGNING_KEY_KIND = "signing-key";

    /** Time between two appends. Each one is a billed call; a power failure loses what is not appended. */
    private static final Duration FLUSH_INTERVAL = Duration.ofSeconds(4);

    /** Time after which an empty batch shows that the entry is alive and had no requests. */
    private static final Duration IDLE_INTERVAL = Duration.ofMinutes(1);

    /** Size of the buffer for outages of the store: some minutes of a busy entry, in a process of 96 MB. */
    private static final long BUFFER_BYTES = 8L << 20;

    /** Largest payload of a batch before compression; a record of the store holds 256 kB. */
    private static final int BATCH_BYTES = 192 << 10;

    /** Time from the start to the first batch, so that the entry is already serving when the batch is signed. */
    private static final long FIRST_BATCH_DELAY_SECONDS = 3;

    private final TimeSource time;
    private final LogAccountWriter writer;
    private final Optional<SigningKey> configuredKey;
    private SigningKey signingKey;

    private EntryAccountWriter(
            String name,
            FleetStore store,
            EventLoop loop,
            TimeSource time,
            DecisionLog log,
            Optional<SigningKey> configuredKey) {
        this.time = time;
        this.configuredKey = configuredKey;
        String process = name + "-" + time.now().toEpochMilli();
        this.writer = LogAccountWriter.of(
                new AccountSettings(process, "entry", FLUSH_INTERVAL, IDLE_INTERVAL, BUFFER_BYTES, BATCH_BYTES),
                (Supplier<SigningKey>) this::signingKey,
                StoreAccountLog.of(
                        store,
                        loop,
                        time,
                        process,
                        batches -> log.write(Event.ACCOUNT_FLUSHED, "reason", "store-restored", "batches", batches)),
                time,
                PayloadCodec.deflate(),
                events(log));
    }

    /**
     * Creates the account writer of a process. Its first append follows some seconds later.
     *
     * @param name name of the process
     * @param store the platform's store
     * @param loop event loop of the process
     * @param time time source
     * @param log decision log
     * @param configuredKey signing key, if one is configured
     */
    public static EntryAccountWriter start(
            String name,
            FleetStore store,
            EventLoop loop,
            TimeSource time,
            DecisionLog log,
            Optional<SigningKey> configuredKey) {
        EntryAccountWriter accountWriter = new EntryAccountWriter(
                Objects.requireNonNull(name, "name"),
                Objects.requireNonNull(store, "store"),
                Objects.requireNonNull(loop, "loop"),
                Objects.requireNonNull(time, "time"),
                Objects.requireNonNull(log, "log"),
                Objects.requireNonNull(configuredKey, "configuredKey"));
        loop.schedule(() -> accountWriter.writer.start(), FIRST_BATCH_DELAY_SECONDS, TimeUnit.SECONDS);
        return accountWriter;
    }

    @Override
    public void write(AuditRecord record) {
        writer.write(record);
    }

    @Override
    public void close() {
        writer.close();
    }

    /** Returns the signing key, generated on first use if none is configured. Called on the writer's thread only. */
    private SigningKey signingKey() {
        if (signingKey == null) {
            signingKey = configuredKey.orElseGet(this::generate);
        }
        return signingKey;
    }

    private SigningKey generate() {
        SigningKey.EncodedKeyPair generated = SigningKey.generate();
        TreeMap<String, String> details = new TreeMap<>();
        details.put("id", generated.id());
        details.put("public", generated.publicKey());
        writer.write(new ChangeRecord(time.now(), SIGNING_KEY_KIND, details));
        return SigningKey.parse(generated.secret());
    }

    private static AccountListener events(DecisionLog log) {
        return new AccountListener() {
            @Override
            public void flushed(long first, int count, long offset) {
                log.write(Event.ACCOUNT_FLUSHED, "first", first, "count", count);
            }

            @Override
            public void flushFailed(long first, int count, ErrorCode code) {
                log.write(Event.ACCOUNT_FLUSH_FAILED, "first", first, "count", count, "code", code);
            }

            @Override
            public void dropped(String process, long boundBytes) {
                log.write(Event.ACCOUNT_GAP, "writer", process, "bound_bytes", boundBytes);
            }

            @Override
            public void failed(RuntimeException cause) {
                log.write(Event.INTERNAL_ERROR, cause, "component", "account-writer");
            }
        };
    }
}
