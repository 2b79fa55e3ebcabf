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
    private Path folder;

    private Path file;

    @BeforeEach
    void export() throws IOException {
        ManualTimeSource time = ManualTimeSource.of(Samples.START);
        InMemoryLogService log = InMemoryLogService.of(time);
        for (String name : List.of("entry-1/a", "sidecar-1/a")) {
            AccountSettings settings =
                    new AccountSettings(name, "entry", Duration.ofSeconds(1), Duration.ofMinutes(1), 1 << 20, 6000);
            try (LogAccountWriter writer = LogAccountWriter.of(settings, keys.signing(), log, time)) {
                for (int i = 0; i < 20; i++) {
                    writer.write(Samples.request("r-" + i, time.now()));
                    time.advance(Duration.ofMillis(7));
                }
            }
        }
        file = folder.resolve("account");
        AccountExport.of(log, Samples.START, Samples.START.plusSeconds(60), progress -> {})
                .writeTo(file);
    }

    /** Returns whether content verifies after a forger has added the trailer that belongs to it. */
    private boolean isAuthenticWithTrailer(byte[] frames) throws IOException {
        Path forged = folder.resolve("forged");
        Files.write(forged, frames);
        Files.write(forged, ExportTrailer.of(forged), StandardOpenOption.APPEND);
        return AccountVerifier.verify(forged, keys.verification()).isAuthentic();
    }

    private boolean isAuthentic(byte[] content) throws IOException {
        Path changed = folder.resolve("changed");
        Files.write(changed, content);
        return AccountVerifier.verify(changed, keys.verification()).isAuthentic();
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
    class AChangeOfTheContent {
        /** Guards against a change, removal, reordering or addition of a line that the verification misses. */
        @Test
        void isAlwaysFound() throws IOException {
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
            int at = random.nextInt(lines.size());
            int other = random.nextInt(lines.size());
            switch (kind) {
                case 0 -> lines.remove(at);
                case 1 -> lines.add(at, lines.get(other));
                case 2 -> lines.set(at, lines.set(other, lines.get(at)));
                case 3 -> lines.set(at, withChangedCharacter(lines.get(at), random));
                default -> lines.set(at, withoutCharacter(lines.get(at), random));
            }
            return "kind " + kind + " at line " + at + ", other line " + other;
        }

        private static String withChangedCharacter(String line, UniformRandomProvider random) {
            int at = random.nextInt(line.length());
            char replacement = (char) ('0' + random.nextInt(10));
            return line.substring(0, at) + replacement + line.substring(at + 1);
        }

        private static String withoutCharacter(String line, UniformRandomProvider random) {
            int at = random.nextInt(line.length());
            return line.substring(0, at) + line.substring(at + 1);
        }
    }

    @Nested
    class AChangedByteOfTheFile {
        /** Guards against a damaged file that still verifies. */
        @Test
        void isAlwaysFound() throws IOException {
            byte[] original = Files.readAllBytes(file);
            assertThat(isAuthentic(original)).isTrue();
            UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(SEED + 1);
            for (int i = 0; i < MUTATIONS; i++) {
                byte[] changed = original.clone();
                int at = random.nextInt(changed.length);
                changed[at] ^= (byte) (1 << random.nextInt(8));
                assertThat(isAuthentic(changed))
                        .as("seed %d, mutation %d, byte %d", SEED + 1, i, at)
                        .isFalse();
            }
        }
    }
}
