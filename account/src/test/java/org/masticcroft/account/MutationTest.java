package org.masticcroft.account;

import static org.assertj.core.api.Assertions.assertThat;

import com.github.luben.zstd.Zstd;
import com.github.luben.zstd.ZstdInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.masticcroft.account.export.AccountExport;
import org.masticcroft.account.export.ExportTrailer;
import org.masticcroft.account.verify.AccountVerifier;
import org.masticcroft.account.writer.AccountSettings;
import org.masticcroft.account.writer.LogAccountWriter;
import org.masticcroft.kernel.time.ManualTimeSource;
import org.masticcroft.ports.log.InMemoryLogService;

class MutationTest {
    private static final long SEED = 20261204;
    private static final int MUTATIONS = 1200;

    private final Samples.Keys keys = Samples.Keys.of(1);

    @TempDir
    private Path directory;

    private Path file;

    @BeforeEach
    void export() throws IOException {
        ManualTimeSource time = ManualTimeSource.of(Samples.START);
        InMemoryLogService log = InMemoryLogService.of(time);
        for (String name : List.of("entry-1/a", "sidecar-1/a")) {
            AccountSettings settings =
                    new AccountSettings(name, "entry", Duration.ofSeconds(1), Duration.ofMinutes(1), 1 << 20, 6000);
            try (LogAccountWriter writer = LogAccountWriter.of(settings, keys.signingKey(), log, time)) {
                for (int i = 0; i < 20; i++) {
                    writer.write(Samples.request("r-" + i, time.now()));
                    time.advance(Duration.ofMillis(7));
                }
            }
        }
        file = directory.resolve("account");
        AccountExport.of(log, Samples.START, Samples.START.plusSeconds(60), progress -> {})
                .writeTo(file);
    }

    /** Returns whether frames are authentic after a forger has appended a matching trailer. */
    private boolean isAuthenticWithTrailer(byte[] frames) throws IOException {
        Path forged = directory.resolve("forged");
        Files.write(forged, frames);
        Files.write(forged, ExportTrailer.of(forged), StandardOpenOption.APPEND);
        return AccountVerifier.verify(forged, keys.verificationKeys()).isAuthentic();
    }

    private boolean isAuthentic(byte[] content) throws IOException {
        Path changed = directory.resolve("changed");
        Files.write(changed, content);
        return AccountVerifier.verify(changed, keys.verificationKeys()).isAuthentic();
    }

    private List<String> lines() throws IOException {
        try (ZstdInputStream content = new ZstdInputStream(Files.newInputStream(file))) {
            return new String(content.readAllBytes(), StandardCharsets.UTF_8)
                    .lines()
                    .toList();
        }
    }

    private static byte[] compressed(List<String> lines) {
        return Zstd.compress((String.join("\n", lines) + "\n").getBytes(StandardCharsets.UTF_8));
    }

    @Nested
    class AChangedLine {
        /** Guards against a changed, removed, reordered or added line that the verification does not detect. */
        @Test
        void isAlwaysDetected() throws IOException {
            List<String> original = lines();
            assertThat(isAuthenticWithTrailer(compressed(original))).isTrue();
            UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(SEED);
            for (int i = 0; i < MUTATIONS; i++) {
                List<String> changed = new ArrayList<>(original);
                String mutation = mutate(changed, random, i % 5);
                if (!changed.equals(original)) {
                    assertThat(isAuthenticWithTrailer(compressed(changed)))
                            .as("seed %d, mutation %d: %s", SEED, i, mutation)
                            .isFalse();
                }
            }
        }

        private static String mutate(List<String> lines, UniformRandomProvider random, int kind) {
            int index = random.nextInt(lines.size());
            int otherIndex = random.nextInt(lines.size());
            switch (kind) {
                case 0 -> lines.remove(index);
                case 1 -> lines.add(index, lines.get(otherIndex));
                case 2 -> lines.set(index, lines.set(otherIndex, lines.get(index)));
                case 3 -> lines.set(index, withChangedCharacter(lines.get(index), random));
                default -> lines.set(index, withoutCharacter(lines.get(index), random));
            }
            return "kind " + kind + " at line " + index + ", other line " + otherIndex;
        }

        private static String withChangedCharacter(String line, UniformRandomProvider random) {
            int index = random.nextInt(line.length());
            char replacement = (char) ('0' + random.nextInt(10));
            return line.substring(0, index) + replacement + line.substring(index + 1);
        }

        private static String withoutCharacter(String line, UniformRandomProvider random) {
            int index = random.nextInt(line.length());
            return line.substring(0, index) + line.substring(index + 1);
        }
    }

    @Nested
    class AChangedBit {
        /** Guards against a damaged file that is still reported as authentic. */
        @Test
        void isAlwaysDetected() throws IOException {
            byte[] original = Files.readAllBytes(file);
            assertThat(isAuthentic(original)).isTrue();
            UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(SEED + 1);
            for (int i = 0; i < MUTATIONS; i++) {
                byte[] changed = original.clone();
                int index = random.nextInt(changed.length);
                changed[index] ^= (byte) (1 << random.nextInt(8));
                assertThat(isAuthentic(changed))
                        .as("seed %d, mutation %d, byte %d", SEED + 1, i, index)
                        .isFalse();
            }
        }
    }
}
