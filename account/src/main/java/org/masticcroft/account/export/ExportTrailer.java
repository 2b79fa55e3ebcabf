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
 * frame do not affect the decompressed content, so a digest of the content alone would not detect every changed byte.
 */
public final class ExportTrailer {
    private static final int SKIPPABLE_FRAME_MAGIC = 0x184D2A50;
    private static final int DIGEST_BYTES = 32;
    private static final int TRAILER_BYTES = 2 * Integer.BYTES + DIGEST_BYTES;
    private static final int READ_BUFFER_BYTES = 1 << 16;

    private ExportTrailer() {}

    /**
     * Returns the trailer for a file that has no trailer yet.
     *
     * @throws IOException if the file cannot be read
     */
    public static byte[] of(Path frames) throws IOException {
        return trailer(digest(frames, Files.size(frames)));
    }

    /**
     * Returns whether a file ends with a trailer that matches the bytes before it.
     *
     * @throws IOException if the file cannot be read
     */
    public static boolean isIntact(Path file) throws IOException {
        long framesBytes = Files.size(file) - TRAILER_BYTES;
        if (framesBytes < 0) {
            return false;
        }
        byte[] actualTrailer;
        try (InputStream content = Files.newInputStream(file)) {
            content.skipNBytes(framesBytes);
            actualTrailer = content.readAllBytes();
        }
        return Arrays.equals(actualTrailer, trailer(digest(file, framesBytes)));
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
        byte[] buffer = new byte[READ_BUFFER_BYTES];
        long remaining = length;
        try (InputStream content = new BufferedInputStream(Files.newInputStream(file))) {
            while (remaining > 0) {
                int read = content.read(buffer, 0, (int) Math.min(buffer.length, remaining));
                if (read < 0) {
                    throw new IOException(file + " became shorter while it was read");
                }
                digest.update(buffer, 0, read);
                remaining -= read;
            }
        }
        return digest.digest();
    }
}
