package org.masticcroft.account.batch;

import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.kernel.verdict.Verdict;

/** Compresses the payload of a batch. A payload shows by its first bytes which codec it needs. */
public interface PayloadCodec {
    /** Largest payload of a batch in bytes; a corrupt length must not exhaust the memory of a reader. */
    int MAX_PAYLOAD_BYTES = 64 << 20;

    /** Returns the compressed form. */
    byte[] compress(byte[] payload);

    /**
     * Returns the payload.
     *
     * @throws MasticcroftException with {@code INTERNAL} if the data cannot be decompressed
     */
    byte[] decompress(byte[] compressed);

    /** Returns zstd, which compresses better and needs a native library. */
    static PayloadCodec zstd() {
        return ZstdPayload.INSTANCE;
    }

    /** Returns DEFLATE in the zlib format, which every Java runtime has, for processes that cannot load libraries. */
    static PayloadCodec deflate() {
        return DeflatePayload.INSTANCE;
    }

    /** Returns the codec with which a payload was compressed. */
    static PayloadCodec of(byte[] compressed) {
        return DeflatePayload.recognises(compressed) ? deflate() : zstd();
    }

    /** Returns the failure for a payload that cannot be decompressed. */
    static MasticcroftException malformed(String reason, Throwable cause) {
        return MasticcroftException.of(ErrorCode.INTERNAL, Verdict.NOT_RUN, "not an account batch: " + reason, cause);
    }
}
