package org.masticcroft.account.batch;

import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.kernel.verdict.Verdict;

/** Compresses the payload of a batch. The first byte of compressed data identifies its codec. */
public interface PayloadCodec {
    /** Largest uncompressed payload in bytes; bounds the memory that a reader allocates for a corrupt length. */
    int MAX_PAYLOAD_BYTES = 64 << 20;

    /** Compresses a payload. */
    byte[] compress(byte[] payload);

    /**
     * Decompresses a payload.
     *
     * @throws MasticcroftException with {@code INTERNAL} if the data cannot be decompressed
     */
    byte[] decompress(byte[] compressed);

    /** Returns the zstd codec, which compresses better but needs a native library. */
    static PayloadCodec zstd() {
        return ZstdPayload.INSTANCE;
    }

    /** Returns the DEFLATE codec of the Java runtime, for processes that cannot load native libraries. */
    static PayloadCodec deflate() {
        return DeflatePayload.INSTANCE;
    }

    /** Detects the codec of compressed data by its first byte; anything but zlib is taken for zstd. */
    static PayloadCodec of(byte[] compressed) {
        return DeflatePayload.isZlib(compressed) ? deflate() : zstd();
    }

    /** Creates the exception for data that is not a valid batch, header or record. */
    static MasticcroftException malformed(String reason, Throwable cause) {
        return MasticcroftException.of(ErrorCode.INTERNAL, Verdict.NOT_RUN, "not an account batch: " + reason, cause);
    }
}
