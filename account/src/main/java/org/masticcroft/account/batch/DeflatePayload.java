package org.masticcroft.account.batch;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/** DEFLATE in the zlib format; uses the implementation of the Java runtime. */
enum DeflatePayload implements PayloadCodec {
    INSTANCE;

    /** First byte of the zlib format with a window of 32 kB; zstd frames begin with 0x28. */
    private static final byte ZLIB_FIRST_BYTE = 0x78;

    static boolean isZlib(byte[] compressed) {
        return compressed.length > 0 && compressed[0] == ZLIB_FIRST_BYTE;
    }

    @Override
    public byte[] compress(byte[] payload) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try (DeflaterOutputStream stream = new DeflaterOutputStream(out, deflater)) {
            stream.write(payload);
        } catch (IOException e) {
            throw new IllegalStateException("cannot compress the payload", e);
        } finally {
            deflater.end();
        }
        return out.toByteArray();
    }

    @Override
    public byte[] decompress(byte[] compressed) {
        try (InputStream in = new InflaterInputStream(new ByteArrayInputStream(compressed))) {
            byte[] payload = in.readNBytes(MAX_PAYLOAD_BYTES + 1);
            if (payload.length > MAX_PAYLOAD_BYTES) {
                throw PayloadCodec.malformed("the payload is longer than " + MAX_PAYLOAD_BYTES + " bytes", null);
            }
            return payload;
        } catch (IOException e) {
            throw PayloadCodec.malformed("the payload cannot be decompressed", e);
        }
    }
}
