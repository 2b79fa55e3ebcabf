package org.masticcroft.account;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.masticcroft.account.batch.BatchCodec;
import org.masticcroft.account.export.AccountExport;
import org.masticcroft.account.export.ExportReader;
import org.masticcroft.account.key.VerificationKeys;
import org.masticcroft.account.record.RequestRecord;
import org.masticcroft.account.report.AccountReport;
import org.masticcroft.account.verify.AccountVerifier;
import org.masticcroft.account.verify.Verification;
import org.masticcroft.account.verify.Verification.Kind;
import org.masticcroft.account.verify.Verification.Reason;
import org.masticcroft.account.writer.AccountSettings;
import org.masticcroft.account.writer.LogAccountWriter;
import org.masticcroft.kernel.time.ManualTimeSource;
import org.masticcroft.ports.log.InMemoryLogService;
import org.masticcroft.ports.log.Streams;

class AccountHistoryTest {
    private static final Duration DAY = Duration.ofDays(1);

    private final ManualTimeSource time = ManualTimeSource.of(Samples.START);
    private final InMemoryLogService log = InMemoryLogService.of(time);
    private final Samples.Keys keys = Samples.Keys.of(1);

    @TempDir
    private Path folder;

    private LogAccountWriter writer;

    @BeforeEach
    void open() {
        writer = newWriter("entry-1/a", keys, 1 << 20);
    }

    private LogAccountWriter newWriter(String name, Samples.Keys signing, long bufferBytes) {
        AccountSettings settings =
                new AccountSettings(name, "entry", Duration.ofSeconds(1), Duration.ofMinutes(1), bufferBytes, 4096);
        return LogAccountWriter.of(settings, signing.signing(), log, time);
    }

    private void write(LogAccountWriter to, int from, int count) {
        for (int i = from; i < from + count; i++) {
            to.write(Samples.request("r-" + i, time.now()));
            time.advance(Duration.ofMillis(10));
        }
    }

    private Path export(String name) throws IOException {
        Path file = folder.resolve(name);
        AccountExport.of(log, Samples.START.minus(DAY), Samples.START.plus(DAY), progress -> {})
                .writeTo(file);
        return file;
    }

    private static List<String> requestIds(Path file) throws IOException {
        List<String> ids = new ArrayList<>();
        ExportReader.of(file)
                .read((line, batch) -> batch.lines().stream()
                        .map(BatchCodec::parseRecord)
                        .filter(RequestRecord.class::isInstance)
                        .forEach(found -> ids.add(((RequestRecord) found).requestId())));
        return ids;
    }

    private static List<String> ids(int from, int count) {
        return IntStream.range(from, from + count).mapToObj(i -> "r-" + i).toList();
    }

    private Verification verify(Path file) {
        return AccountVerifier.verify(file, keys.verification());
    }

    @Nested
    class AnOrderlyWriter {
        /** Guards against records that are lost, doubled or reordered between writer and export. */
        @Test
        void isExportedOnceAndInOrderWithoutAnyGap() throws IOException {
            write(writer, 0, 50);
            writer.close();
            Path file = export("a");
            assertThat(requestIds(file)).isEqualTo(ids(0, 50));
            assertThat(verify(file).findings()).isEmpty();
            assertThat(verify(file).gaps()).isEmpty();
        }
    }

    @Nested
    class ALostAppendAnswer {
        /** Guards against records that count twice because a batch was appended again. */
        @Test
        void doublesNoRecord() throws IOException {
            write(writer, 0, 30);
            log.loseAppendResponses(3);
            while (!writer.flush()) {
                time.advance(Duration.ofSeconds(1));
            }
            writer.close();
            Path file = export("a");
            assertThat(log.records(Streams.ACCOUNT).size()).isGreaterThan(verifyBatches(file));
            assertThat(requestIds(file)).isEqualTo(ids(0, 30));
            assertThat(verify(file).isAuthentic()).isTrue();
        }

        private int verifyBatches(Path file) {
            return (int) verify(file).batches();
        }
    }

    @Nested
    class AnOutage {
        /** Guards against records that are lost in an outage that the buffer can hold. */
        @Test
        void shorterThanTheBufferLosesNothing() throws IOException {
            log.setAvailable(false);
            write(writer, 0, 100);
            assertThat(writer.flush()).isFalse();
            log.setAvailable(true);
            writer.close();
            Path file = export("a");
            assertThat(requestIds(file)).isEqualTo(ids(0, 100));
            assertThat(verify(file).gaps()).isEmpty();
        }

        /** Guards against records that are dropped at the bound without a trace. */
        @Test
        void longerThanTheBufferIsAStatedGap() throws IOException {
            LogAccountWriter small = newWriter("entry-1/small", keys, 20_000);
            write(small, 0, 5);
            assertThat(small.flush()).isTrue();
            log.setAvailable(false);
            write(small, 5, 100);
            log.setAvailable(true);
            small.close();
            Path file = export("a");
            List<String> kept = requestIds(file);
            Verification verification = verify(file);
            assertThat(verification.findings()).isEmpty();
            assertThat(verification.gaps()).singleElement().satisfies(gap -> {
                assertThat(gap.reason()).isEqualTo(Reason.BUFFER_FULL);
                assertThat(gap.records()).isEqualTo(105 - kept.size());
                assertThat(gap.fromMillis()).isGreaterThan(Samples.START.toEpochMilli());
            });
            assertThat(kept).endsWith("r-104");
        }
    }

    @Nested
    class AKilledWriter {
        /** Guards against a writer that dies with unappended records and leaves an account that looks complete. */
        @Test
        void leavesAnOpenEnd() throws IOException {
            write(writer, 0, 10);
            writer.flush();
            write(writer, 10, 5);
            Path file = export("a");
            assertThat(requestIds(file)).isEqualTo(ids(0, 10));
            assertThat(verify(file).gaps()).singleElement().satisfies(gap -> {
                assertThat(gap.reason()).isEqualTo(Reason.OPEN_END);
                assertThat(gap.fromMillis())
                        .isLessThanOrEqualTo(Samples.START.plusMillis(100).toEpochMilli());
            });
        }

        /** Guards against an executed request that vanishes with its entry although the sidecar knows of it. */
        @Test
        void isCoveredByTheEvidenceOfTheSidecar() throws IOException {
            LogAccountWriter sidecar = newWriter("sidecar-1/a", keys, 1 << 20);
            write(writer, 0, 1);
            writer.flush();
            sidecar.write(Samples.dispatch("r-0", time.now()));
            sidecar.write(Samples.dispatch("r-1", time.now()));
            sidecar.close();
            AccountReport report = AccountReport.of(export("a"), keys.verification());
            assertThat(report.withoutEntryRecord()).containsExactly("r-1");
        }
    }

    @Nested
    class Retention {
        /** Guards against an export that hides that the log had forgotten batches before they were read. */
        @Test
        void thatPassesBeforeTheExportIsAStatedGap() throws IOException {
            write(writer, 0, 60);
            writer.flush();
            log.dropBefore(Streams.ACCOUNT, 3);
            writer.close();
            Verification verification = verify(export("a"));
            assertThat(verification.findings()).isEmpty();
            assertThat(verification.gaps())
                    .extracting(Verification.Gap::reason)
                    .containsExactlyInAnyOrder(Reason.EXPIRED, Reason.STARTS_LATE);
        }
    }

    @Nested
    class Clocks {
        /** Guards against a wall clock that steps back and makes a batch end before it starts. */
        @Test
        void thatStepBackDoNotBreakTheAccount() throws IOException {
            write(writer, 0, 5);
            writer.flush();
            time.stepWallClock(Duration.ofMinutes(-10));
            write(writer, 5, 5);
            writer.close();
            Path file = export("a");
            assertThat(requestIds(file)).isEqualTo(ids(0, 10));
            assertThat(verify(file).isAuthentic()).isTrue();
        }
    }

    @Nested
    class AnInterruptedExport {
        /** Guards against an export that starts again, doubles or loses batches after an interruption. */
        @Test
        void goesOnWhereItStopped() throws IOException {
            for (int i = 0; i < 450; i++) {
                write(writer, i, 1);
                writer.flush();
            }
            writer.close();
            Path whole = export("whole");
            Path file = folder.resolve("interrupted");
            AccountExport first = AccountExport.of(
                    log, Samples.START.minus(DAY), Samples.START.plus(DAY), progress -> log.setAvailable(false));
            assertThatThrownBy(() -> first.writeTo(file)).hasMessageContaining("log");
            Files.writeString(folder.resolve("interrupted.part"), "torn frame", StandardOpenOption.APPEND);
            log.setAvailable(true);
            assertThat(export("interrupted")).exists();
            assertThat(requestIds(file)).isEqualTo(requestIds(whole));
            assertThat(verify(file).findings()).isEmpty();
        }
    }

    @Nested
    class KeyRotation {
        /** Guards against accounts that stop verifying when a writer gets a new key. */
        @Test
        void verifiesWithBothPublicKeys() throws IOException {
            Samples.Keys rotated = Samples.Keys.of(2);
            write(writer, 0, 3);
            writer.close();
            LogAccountWriter successor = newWriter("entry-1/b", rotated, 1 << 20);
            write(successor, 3, 3);
            successor.close();
            Path file = export("a");
            assertThat(verify(file).findings())
                    .extracting(Verification.Finding::kind)
                    .containsOnly(Kind.SIGNATURE);
            VerificationKeys both = VerificationKeys.parse(keys.publicLine() + "\n" + rotated.publicLine());
            assertThat(AccountVerifier.verify(file, both).findings()).isEmpty();
        }
    }

    @Nested
    class Intervals {
        /** Guards against batches outside the interval that break the chain of those inside. */
        @Test
        void keepTheChainCheckable() throws IOException {
            for (int i = 0; i < 10; i++) {
                write(writer, i, 1);
                writer.flush();
                time.advance(Duration.ofHours(1));
            }
            writer.close();
            Path file = folder.resolve("interval");
            Instant from = Samples.START.plus(Duration.ofHours(3));
            AccountExport.of(log, from, from.plus(Duration.ofHours(2)), progress -> {})
                    .writeTo(file);
            assertThat(requestIds(file)).hasSizeBetween(2, 4);
            assertThat(verify(file).findings()).isEmpty();
        }
    }
}
