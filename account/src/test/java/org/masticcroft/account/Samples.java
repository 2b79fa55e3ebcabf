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

/** Sample records and keys for the tests of this module. */
public final class Samples {
    public static final Instant START = Instant.parse("2026-12-04T04:00:00Z");
    public static final String WEIGHTS_DIGEST = "sha256:" + "a".repeat(64);

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
                Optional.of(WEIGHTS_DIGEST),
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
                Optional.of(WEIGHTS_DIGEST),
                Optional.of("inc-1"),
                "1".repeat(64),
                Optional.of("2".repeat(64)));
    }

    /**
     * A key pair.
     *
     * @param signingKey private key of the writer
     * @param publicLine key id and public key in the form that {@link VerificationKeys#parse} accepts
     */
    public record Keys(SigningKey signingKey, String publicLine) {
        /** Generates a key pair from a seed, so that every test run checks the same bytes. */
        public static Keys of(long seed) {
            try {
                SecureRandom random = SecureRandom.getInstance("SHA1PRNG");
                random.setSeed(seed);
                KeyPairGenerator generator = KeyPairGenerator.getInstance("Ed25519");
                generator.initialize(NamedParameterSpec.ED25519, random);
                SigningKey.EncodedKeyPair pair = SigningKey.encode(generator.generateKeyPair());
                return new Keys(SigningKey.parse(pair.secret()), pair.id() + " " + pair.publicKey());
            } catch (GeneralSecurityException e) {
                throw new IllegalStateException(e);
            }
        }

        public VerificationKeys verificationKeys() {
            return VerificationKeys.parse(publicLine);
        }
    }
}
