package org.masticcroft.gateway.account;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.masticcroft.account.batch.PayloadCodec;
import org.masticcroft.account.export.AccountExport;
import org.masticcroft.account.key.SigningKey;
import org.masticcroft.account.key.VerificationKeys;
import org.masticcroft.account.record.ChangeRecord;
import org.masticcroft.account.verify.AccountVerifier;
import org.masticcroft.account.verify.Verification;
import org.masticcroft.account.writer.AccountListener;
import org.masticcroft.account.writer.AccountSettings;
import org.masticcroft.account.writer.LogAccountWriter;
import org.masticcroft.gateway.fleet.AccountRecords;
import org.masticcroft.gateway.fleet.Directory;
import org.masticcroft.gateway.fleet.DirectoryReply;
import org.masticcroft.gateway.fleet.FleetStore;
import org.masticcroft.gateway.fleet.StoreEra;
import org.masticcroft.kernel.time.ManualTimeSource;

class StoreAccountLogTest {
    private static final long FIRST_ERA = 1;

    private final ManualTimeSource time = ManualTimeSource.of(Instant.parse("2026-12-06T12:00:00Z"));
    private final EventLoop loop = new DefaultEventLoop();
    private final FakeStore store = new FakeStore();
    private final SigningKey.EncodedKeyPair key = SigningKey.generate();
    private final StoreAccountLog log = StoreAccountLog.of(store, loop, time, "entry-1");
    private final LogAccountWriter writer = LogAccountWriter.of(
            new AccountSettings("entry-1", "entry", Duration.ofSeconds(4), Duration.ofMinutes(1), 1 << 20, 4096),
            () -> SigningKey.parse(key.secret()),
            log,
            time,
            PayloadCodec.deflate(),
            AccountListener.logging());

    @TempDir
    private Path directory;

    @AfterEach
    void stop() {
        loop.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private boolean append(int count) {
        boolean flushed = true;
        for (int i = 0; i < count; i++) {
            writer.write(new ChangeRecord(time.now(), "test", new TreeMap<>(Map.of("i", "" + i))));
            flushed &= writer.flush();
            time.advance(Duration.ofSeconds(4));
        }
        return flushed;
    }

    private Verification verify() throws IOException {
        Path file = directory.resolve("account");
        AccountExport.of(log, Instant.EPOCH, Instant.parse("2027-01-01T00:00:00Z"), progress -> {})
                .writeTo(file);
        return AccountVerifier.verify(file, VerificationKeys.parse(key.id() + " " + key.publicKey()));
    }

    private <T> T onLoop(Callable<T> task) {
        return loop.submit(task).syncUninterruptibly().getNow();
    }

    /** Pattern: the store comes back from a copy that lacks the last batches. */
    @Nested
    class ARestore {
        /** Guards against a chain that misses batches, or holds them behind a batch that follows them. */
        @Test
        void thatTheNextAppendRevealsLeavesTheChainComplete() throws IOException {
            append(3);
            Map<String, AccountRecords.Stored> copy = onLoop(store::copy);
            append(2);
            onLoop(() -> store.restore(copy));
            assertThat(append(2)).isTrue();
            writer.close();

            Verification verification = verify();
            assertThat(verification.findings()).isEmpty();
            assertThat(verification.gaps()).isEmpty();
            assertThat(verification.records()).isEqualTo(7);
        }

        /** Guards against batches that are appended again only with the next append, seconds later. */
        @Test
        void thatAnotherCallRevealsIsFollowedByTheAppendsAtOnce() {
            append(2);
            List<String> keys = List.copyOf(onLoop(store::copy).keySet());
            onLoop(() -> store.restore(Map.of()));
            onLoop(store::stateEra);

            assertThat(onLoop(store::copy).keySet()).containsExactlyElementsOf(keys);
        }

        /** Guards against a batch that overtakes those that are not appended again yet. */
        @Test
        void letsNoBatchPassWhileTheOthersCannotBeAppendedAgain() throws IOException {
            append(2);
            onLoop(() -> store.restore(Map.of()));
            onLoop(() -> store.fail(3));
            onLoop(store::stateEra);
            assertThat(append(1)).isFalse();
            assertThat(onLoop(store::copy)).isEmpty();
            onLoop(() -> store.fail(0));
            writer.close();

            Verification verification = verify();
            assertThat(verification.findings()).isEmpty();
            assertThat(verification.records()).isEqualTo(3);
        }
    }

    /** Pattern: an entry runs for hours. */
    @Nested
    class KeptBatches {
        private final AppendedBatches kept = new AppendedBatches(time);

        /** Guards against memory that grows with the account. */
        @Test
        void areBoundedInTimeAndMemory() {
            for (int i = 0; i < 10; i++) {
                kept.add("large-" + i, new byte[AppendedBatches.MAX_BYTES / 4]);
            }
            assertThat(kept.all())
                    .extracting(AppendedBatches.Batch::key)
                    .containsExactly("large-6", "large-7", "large-8", "large-9");
            time.advance(AppendedBatches.RETENTION.plusMillis(1));
            assertThat(kept.all()).isEmpty();
        }
    }

    /** Keyed topic in memory. */
    private static final class FakeStore implements FleetStore {
        private final StoreEra era = StoreEra.unknown();
        private final Map<String, AccountRecords.Stored> records = new LinkedHashMap<>();
        private long stated = FIRST_ERA;
        private long endOffset;
        private int failures;

        private Map<String, AccountRecords.Stored> copy() {
            return new LinkedHashMap<>(records);
        }

        private boolean restore(Map<String, AccountRecords.Stored> copy) {
            records.clear();
            records.putAll(copy);
            endOffset = copy.size();
            stated++;
            return true;
        }

        private boolean stateEra() {
            return era.record(era.current(), OptionalLong.of(stated));
        }

        private boolean fail(int calls) {
            failures = calls;
            return true;
        }

        @Override
        public StoreEra era() {
            return era;
        }

        @Override
        public void appendAccountRecord(String recordKey, byte[] data, Consumer<Boolean> reply) {
            if (failures > 0) {
                failures--;
                reply.accept(false);
                return;
            }
            records.remove(recordKey);
            records.put(recordKey, new AccountRecords.Stored(recordKey, endOffset++, data));
            stateEra();
            reply.accept(true);
        }

        @Override
        public void readAccountRecords(Consumer<AccountRecords> reply) {
            reply.accept(new AccountRecords(Optional.empty(), new ArrayList<>(records.values()), endOffset));
        }

        @Override
        public void readAll(Directory directory, Consumer<DirectoryReply> reply) {
            throw new UnsupportedOperationException("the test reads no directory");
        }

        @Override
        public void readOperatorWithoutConfig(Consumer<DirectoryReply> reply) {
            throw new UnsupportedOperationException("the test has no sidecar");
        }

        @Override
        public void readFrom(Directory directory, long from, Duration wait, Consumer<DirectoryReply> reply) {
            throw new UnsupportedOperationException("the test reads no directory");
        }
    }
}
