package org.masticcroft.account.export;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.Arrays;
import org.masticcroft.account.batch.Sha256;

/**
 * Last part of an exported file: a skippable zstd frame with the SHA-256 of all bytes before it. Some bits of a zstd
 * frame do not influence its content, so the digest of the content alone does not find every changed byte.
 */
public final class ExportTrailer {
    private static final int SKIPPABLE_FRAME_MAGIC = 0x184D2A50;
    private static final int DIGEST_BYTES = 32;
    private static final int TRAILER_BYTES = 2 * Integer.BYTES + DIGEST_BYTES;
    private static final int COPY_BUFFER_BYTES = 1 << 16;

    private ExportTrailer() {}

    /**
     * Returns the trailer for a file that consists of its frames only.
     *
     * @throws IOException if the file cannot be read
     */
    public static byte[] of(Path frames) throws IOException {
        return trailer(digest(frames, Files.size(frames)));
    }

    /**
     * Returns whether a file ends with the trailer that belongs to it.
     *
     * @throws IOException if the file cannot be read
     */
    public static boolean isIntact(Path file) throws IOException {
        long frames = Files.size(file) - TRAILER_BYTES;
        if (frames < 0) {
            return false;
        }
        byte[] found;
        try (InputStream content = Files.newInputStream(file)) {
            content.skipNBytes(frames);
            found = content.readAllBytes();
        }
        return Arrays.equals(found, trailer(digest(file, frames)));
    }

    private static byte[] trailer(byte[] digest) {
        return ByteBuffer.allocate(TRAILER_BYTES)
                .order(ByteOrder.LITTLE_ENDIAN)
                .putInt(SKIPPABLE_FRAME_MAGIC)
                .putInt(DIGEST_BYTES)
                .put(digest)
                .array();
    }

    private static byte[] digest(Path file, long length) throws IOException {
        MessageDigest digest = Sha256.newDigest();
        byte[] buffer = new byte[COPY_BUFFER_BYTES];
        long left = length;
        try (InputStream content = new BufferedInputStream(Files.newInputStream(file))) {
            while (left > 0) {
                int read = content.read(buffer, 0, (int) Math.min(buffer.length, left));
                if (read < 0) {
                    throw new IOException(file + " became shorter while it was read");
                }
                digest.update(buffer, 0, read);
                left -= read;
            }
        }
        return digest.digest();
    }
}
