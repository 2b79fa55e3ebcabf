package org.masticcroft.account.export;

import com.github.luben.zstd.ZstdCompressCtx;
import com.github.luben.zstd.ZstdInputStream;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.RandomAccessFile;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.Optional;
import org.masticcroft.account.batch.Sha256;

/**
 * Writes the lines of an export as zstd frames. The file is written under the name {@code <file>.part}; a state file
 * beside it contains the length up to which the frames are complete, so that an interrupted export can be resumed.
 */
final class ExportSink implements AutoCloseable {
    private static final int COMPRESSION_LEVEL = 9;
    private static final int READ_BUFFER_BYTES = 1 << 16;
    private static final byte LINE_FEED = '\n';

    private final Path target;
    private final Path partFile;
    private final Path stateFile;
    private final RandomAccessFile file;
    private final MessageDigest digest = Sha256.newDigest();
    private final StringBuilder frameLines = new StringBuilder();

    private ExportSink(Path target, Path partFile, Path stateFile, RandomAccessFile file) {
        this.target = target;
        this.partFile = partFile;
        this.stateFile = stateFile;
        this.file = file;
    }

    /** Opens the part file of a target and keeps the complete frames of an interrupted export. */
    static ExportSink open(Path target) throws IOException {
        Path partFile = target.resolveSibling(target.getFileName() + ".part");
        Path stateFile = target.resolveSibling(target.getFileName() + ".part.state");
        Optional<ExportState> resumedState = ExportState.read(stateFile);
        ExportSink sink = new ExportSink(target, partFile, stateFile, new RandomAccessFile(partFile.toFile(), "rw"));
        sink.truncateAndDigest(resumedState.map(ExportState::bytes).orElse(0L));
        return sink;
    }

    /** Returns the state of the interrupted export that this sink continues, if there is one. */
    Optional<ExportState> resumedState() {
        return ExportState.read(stateFile);
    }

    Path partFile() {
        return partFile;
    }

    void addLine(String text) {
        frameLines.append(text).append((char) LINE_FEED);
    }

    /** Writes the lines since the last frame as a new frame, then the state file. */
    void endFrame(ExportState state) throws IOException {
        writeFrame();
        state.withBytes(file.length()).write(stateFile);
    }

    /** Writes the last line and the trailer, renames the part file to the target and deletes the state file. */
    void finish(long nextOffset, long batches, long records) throws IOException {
        writeFrame();
        String end = ExportCodec.write(
                new ExportLine.End(nextOffset, batches, records, HexFormat.of().formatHex(digest.digest())));
        addLine(end);
        writeFrame();
        file.write(ExportTrailer.of(partFile));
        file.close();
        Files.move(partFile, target, StandardCopyOption.REPLACE_EXISTING);
        Files.deleteIfExists(stateFile);
    }

    @Override
    public void close() {
        try {
            file.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Truncates the part file to the given length and computes the digest of the remaining lines. */
    private void truncateAndDigest(long bytes) throws IOException {
        file.setLength(Math.min(bytes, file.length()));
        file.seek(file.length());
        try (InputStream raw = new BufferedInputStream(Files.newInputStream(partFile));
                ZstdInputStream lines = new ZstdInputStream(raw)) {
            byte[] buffer = new byte[READ_BUFFER_BYTES];
            int read = lines.read(buffer);
            while (read >= 0) {
                digest.update(buffer, 0, read);
                read = lines.read(buffer);
            }
        }
    }

    private void writeFrame() throws IOException {
        if (frameLines.isEmpty()) {
            return;
        }
        byte[] content = frameLines.toString().getBytes(StandardCharsets.UTF_8);
        frameLines.setLength(0);
        digest.update(content);
        try (ZstdCompressCtx context = new ZstdCompressCtx()) {
            context.setLevel(COMPRESSION_LEVEL).setChecksum(true).setContentSize(true);
            file.write(context.compress(content));
        }
    }
}
