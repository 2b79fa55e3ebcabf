package org.masticcroft.account;

import java.security.GeneralSecurityException;
import java.security.KeyPairGenerator;
import java.security.SecureRandom;
import java.security.spec.NamedParameterSpec;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.masticcroft.account.key.SigningKey;
import org.masticcroft.account.key.VerificationKeys;
import org.masticcroft.account.record.DispatchRecord;
import org.masticcroft.account.record.RequestRecord;
import org.masticcroft.kernel.verdict.Verdict;

/** Records and keys that the tests of this module share. */
public final class Samples {
    public static final Instant START = Instant.parse("2026-12-04T04:00:00Z");
    public static final String DIGEST = "sha256:" + "a".repeat(64);

    private Samples() {}

    public static RequestRecord request(String id, Instant arrival) {
        return new RequestRecord(
                id,
                "harbour-agents",
                "urgent",
                "assistant",
                arrival,
                arrival.plusMillis(120),
                5,
                Optional.of("harbour-7b"),
                Optional.of("v1"),
                Optional.empty(),
                Optional.of(DIGEST),
                Optional.of("engine-1"),
                3,
                200,
                Verdict.RAN,
                Optional.empty(),
                200,
                "1".repeat(64),
                Optional.of("2".repeat(64)),
                List.of(new RequestRecord.Attempt(
                        1,
                        "engine-1",
                        2,
                        List.of("engine-1", "engine-2"),
                        "prefix-affinity",
                        Verdict.RAN,
                        Optional.empty(),
                        Optional.of("inc-1"))));
    }

    public static DispatchRecord dispatch(String id, Instant start) {
        return new DispatchRecord(
                id,
                1,
                "entry-1",
                "engine-1",
                start,
                start.plusMillis(100),
                Verdict.RAN,
                Optional.empty(),
                Optional.of(DIGEST),
                Optional.of("inc-1"),
                "1".repeat(64),
                Optional.of("2".repeat(64)));
    }

    /** A key pair in the forms that a writer and an auditor use. */
    public record Keys(SigningKey signing, String publicLine) {
        /** Returns the same key pair for the same seed, so that every run checks the same bytes. */
        public static Keys of(long seed) {
            try {
                SecureRandom random = SecureRandom.getInstance("SHA1PRNG");
                random.setSeed(seed);
                KeyPairGenerator generator = KeyPairGenerator.getInstance("Ed25519");
                generator.initialize(NamedParameterSpec.ED25519, random);
                SigningKey.EncodedKeyPair generated = SigningKey.encode(generator.generateKeyPair());
                return new Keys(SigningKey.parse(generated.secret()), generated.id() + " " + generated.publicKey());
            } catch (GeneralSecurityException e) {
                throw new IllegalStateException(e);
            }
        }

        public VerificationKeys verification() {
            return VerificationKeys.parse(publicLine);
        }
    }
}
