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
import java.util.concurrent.atomic.AtomicInteger;
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
import org.masticcroft.ports.log.LogPage;
import org.masticcroft.ports.log.LogService;
import org.masticcroft.ports.log.Streams;

class AccountHistoryTest {
    private static final Duration DAY = Duration.ofDays(1);

    private final ManualTimeSource time = ManualTimeSource.of(Samples.START);
    private final InMemoryLogService log = InMemoryLogService.of(time);
    private final Samples.Keys keys = Samples.Keys.of(1);

    @TempDir
    private Path directory;

    private LogAccountWriter writer;

    @BeforeEach
    void createWriter() {
        writer = newWriter("entry-1/a", keys, 1 << 20);
    }

    private LogAccountWriter newWriter(String name, Samples.Keys writerKeys, long bufferBytes) {
        AccountSettings settings =
                new AccountSettings(name, "entry", Duration.ofSeconds(1), Duration.ofMinutes(1), bufferBytes, 4096);
        return LogAccountWriter.of(settings, writerKeys.signingKey(), log, time);
    }

    private void write(LogAccountWriter target, int firstId, int count) {
        for (int i = firstId; i < firstId + count; i++) {
            target.write(Samples.request("r-" + i, time.now()));
            time.advance(Duration.ofMillis(10));
        }
    }

    private Path export(String name) throws IOException {
        Path file = directory.resolve(name);
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
                        .forEach(request -> ids.add(((RequestRecord) request).requestId())));
        return ids;
    }

    private static List<String> ids(int firstId, int count) {
        return IntStream.range(firstId, firstId + count).mapToObj(i -> "r-" + i).toList();
    }

    private Verification verify(Path file) {
        return AccountVerifier.verify(file, keys.verificationKeys());
    }

    @Nested
    class AClosedWriter {
        /** Guards against records that are lost, duplicated or reordered between writer and export. */
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
    class ALostAppendResponse {
        /** Guards against records that are counted twice because their batch was appended again. */
        @Test
        void duplicatesNoRecord() throws IOException {
            write(writer, 0, 30);
            log.loseAppendResponses(3);
            while (!writer.flush()) {
                time.advance(Duration.ofSeconds(1));
            }
            writer.close();
            Path file = export("a");
            assertThat(log.records(Streams.ACCOUNT).size()).isGreaterThan(verifiedBatches(file));
            assertThat(requestIds(file)).isEqualTo(ids(0, 30));
            assertThat(verify(file).isAuthentic()).isTrue();
        }

        private int verifiedBatches(Path file) {
            return (int) verify(file).batches();
        }
    }

    @Nested
    class AnOutageOfTheLog {
        /** Guards against lost records although the buffer holds all records of the outage. */
        @Test
        void losesNoRecordThatTheBufferHolds() throws IOException {
            log.setAvailable(false);
            write(writer, 0, 100);
            assertThat(writer.flush()).isFalse();
            log.setAvailable(true);
            writer.close();
            Path file = export("a");
            assertThat(requestIds(file)).isEqualTo(ids(0, 100));
            assertThat(verify(file).gaps()).isEmpty();
        }

        /** Guards against records that a full buffer drops without a reported gap. */
        @Test
        void isReportedAsAGapIfTheBufferOverflows() throws IOException {
            LogAccountWriter smallWriter = newWriter("entry-1/small", keys, 20_000);
            write(smallWriter, 0, 5);
            assertThat(smallWriter.flush()).isTrue();
            log.setAvailable(false);
            write(smallWriter, 5, 100);
            log.setAvailable(true);
            smallWriter.close();
            Path file = export("a");
            List<String> keptIds = requestIds(file);
            Verification verification = verify(file);
            assertThat(verification.findings()).isEmpty();
            assertThat(verification.gaps()).singleElement().satisfies(gap -> {
                assertThat(gap.reason()).isEqualTo(Reason.BUFFER_FULL);
                assertThat(gap.records()).isEqualTo(105 - keptIds.size());
                assertThat(gap.fromMillis()).isGreaterThan(Samples.START.toEpochMilli());
            });
            assertThat(keptIds).endsWith("r-104");
        }
    }

    @Nested
    class AKilledWriter {
        /** Guards against an account that looks complete although its writer died with buffered records. */
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

        /** Guards against a report that omits a request which only the sidecar recorded, because the entry died. */
        @Test
        void isCoveredByTheRecordsOfTheSidecar() throws IOException {
            LogAccountWriter sidecar = newWriter("sidecar-1/a", keys, 1 << 20);
            write(writer, 0, 1);
            writer.flush();
            sidecar.write(Samples.dispatch("r-0", time.now()));
            sidecar.write(Samples.dispatch("r-1", time.now()));
            sidecar.close();
            AccountReport report = AccountReport.of(export("a"), keys.verificationKeys());
            assertThat(report.withoutEntryRecord()).containsExactly("r-1");
        }
    }

    @Nested
    class Retention {
        /** Guards against an export that hides that batches had passed the retention of the log. */
        @Test
        void isReportedAsAGapIfItPassesBeforeTheExport() throws IOException {
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
    class AWallClockThatIsSetBack {
        /** Guards against a batch whose interval ends before it starts because the wall clock was set back. */
        @Test
        void keepsTheAccountAuthentic() throws IOException {
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
        /** Guards against an export that restarts, or that duplicates or loses batches, after an interruption. */
        @Test
        void resumesWhereItStopped() throws IOException {
            for (int i = 0; i < 450; i++) {
                write(writer, i, 1);
                writer.flush();
            }
            writer.close();
            Path uninterrupted = export("uninterrupted");
            Path file = directory.resolve("interrupted");
            AccountExport failingExport = AccountExport.of(
                    log, Samples.START.minus(DAY), Samples.START.plus(DAY), progress -> log.setAvailable(false));
            assertThatThrownBy(() -> failingExport.writeTo(file)).hasMessageContaining("log");
            Files.writeString(directory.resolve("interrupted.part"), "torn frame", StandardOpenOption.APPEND);
            log.setAvailable(true);
            assertThat(export("interrupted")).exists();
            assertThat(requestIds(file)).isEqualTo(requestIds(uninterrupted));
            assertThat(verify(file).findings()).isEmpty();
        }
    }

    @Nested
    class AKeyRotation {
        /** Guards against accounts that cannot be verified after a writer has got a new key. */
        @Test
        void isVerifiedWithBothPublicKeys() throws IOException {
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
            VerificationKeys bothKeys = VerificationKeys.parse(keys.publicLine() + "\n" + rotated.publicLine());
            assertThat(AccountVerifier.verify(file, bothKeys).findings()).isEmpty();
        }
    }

    @Nested
    class AnExportOfAnInterval {
        /** Guards against a hash chain that breaks at the batches outside the interval, whose records are left out. */
        @Test
        void keepsTheHashChainVerifiable() throws IOException {
            for (int i = 0; i < 10; i++) {
                write(writer, i, 1);
                writer.flush();
                time.advance(Duration.ofHours(1));
            }
            writer.close();
            Path file = directory.resolve("interval");
            Instant from = Samples.START.plus(Duration.ofHours(3));
            AccountExport.of(log, from, from.plus(Duration.ofHours(2)), progress -> {})
                    .writeTo(file);
            assertThat(requestIds(file)).hasSizeBetween(2, 4);
            assertThat(verify(file).findings()).isEmpty();
        }
    }

    @Nested
    class AFlushUnderLoad {
        /** Guards against a batch for each few records, since every append is a billed call. */
        @Test
        void appendsNoMoreThanWasBufferedWhenItBegan() {
            AccountSettings settings = AccountSettings.of("entry-1/b", "entry", Duration.ofSeconds(4));
            LogAccountWriter[] loaded = new LogAccountWriter[1];
            AtomicInteger appends = new AtomicInteger();
            LogService slowLog = new LogService() {
                @Override
                public long append(String stream, byte[] data) {
                    if (appends.incrementAndGet() <= 20) {
                        write(loaded[0], 100 * appends.get(), 5);
                    }
                    return log.append(stream, data);
                }

                @Override
                public LogPage read(String stream, long from, int max, Duration wait) {
                    return log.read(stream, from, max, wait);
                }
            };
            loaded[0] = LogAccountWriter.of(settings, keys.signingKey(), slowLog, time);
            write(loaded[0], 0, 5);

            loaded[0].flush();

            assertThat(appends).hasValue(1);
        }
    }
}
