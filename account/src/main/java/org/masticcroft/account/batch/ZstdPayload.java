package org.masticcroft.account.batch;

import com.github.luben.zstd.Zstd;
import com.github.luben.zstd.ZstdException;

/** zstd; uses a native library. */
enum ZstdPayload implements PayloadCodec {
    INSTANCE;

    private static final int COMPRESSION_LEVEL = 3;

    @Override
    public byte[] compress(byte[] payload) {
        return Zstd.compress(payload, COMPRESSION_LEVEL);
    }

    @Override
    public byte[] decompress(byte[] compressed) {
        try {
            long size = Zstd.getFrameContentSize(compressed);
            if (size < 0 || size > MAX_PAYLOAD_BYTES) {
                throw PayloadCodec.malformed("payload size " + size + " is out of range", null);
            }
            return Zstd.decompress(compressed, (int) size);
        } catch (ZstdException e) {
            throw PayloadCodec.malformed("the payload cannot be decompressed", e);
        }
    }
}
