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
 * beside it names the length up to which the frames are complete, so that an interrupted export can go on from there.
 */
final class ExportSink implements AutoCloseable {
    private static final int COMPRESSION_LEVEL = 9;
    private static final int COPY_BUFFER_BYTES = 1 << 16;
    private static final byte LINE_FEED = '\n';

    private final Path target;
    private final Path part;
    private final Path stateFile;
    private final RandomAccessFile file;
    private final MessageDigest digest = Sha256.newDigest();
    private final StringBuilder frame = new StringBuilder();

    private ExportSink(Path target, Path part, Path stateFile, RandomAccessFile file) {
        this.target = target;
        this.part = part;
        this.stateFile = stateFile;
        this.file = file;
    }

    /** Opens the part file of a target, with what an interrupted export left behind. */
    static ExportSink open(Path target) throws IOException {
        Path part = target.resolveSibling(target.getFileName() + ".part");
        Path state = target.resolveSibling(target.getFileName() + ".part.state");
        Optional<ExportState> resumed = ExportState.read(state);
        ExportSink sink = new ExportSink(target, part, state, new RandomAccessFile(part.toFile(), "rw"));
        sink.truncate(resumed.map(ExportState::bytes).orElse(0L));
        return sink;
    }

    /** Returns the state of the interrupted export that this sink continues, if there is one. */
    Optional<ExportState> resumed() {
        return ExportState.read(stateFile);
    }

    Path part() {
        return part;
    }

    void line(String text) {
        frame.append(text).append((char) LINE_FEED);
    }

    /** Writes the lines since the last frame as a frame and records the state. */
    void endFrame(ExportState state) throws IOException {
        writeFrame();
        state.withBytes(file.length()).write(stateFile);
    }

    /** Writes the last line and gives the file its name. */
    void finish(long nextOffset, long batches, long records) throws IOException {
        writeFrame();
        String end = ExportCodec.write(
                new ExportLine.End(nextOffset, batches, records, HexFormat.of().formatHex(digest.digest())));
        line(end);
        writeFrame();
        file.write(ExportTrailer.of(part));
        file.close();
        Files.move(part, target, StandardCopyOption.REPLACE_EXISTING);
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

    private void truncate(long bytes) throws IOException {
        file.setLength(Math.min(bytes, file.length()));
        file.seek(file.length());
        try (InputStream raw = new BufferedInputStream(Files.newInputStream(part));
                ZstdInputStream lines = new ZstdInputStream(raw)) {
            byte[] buffer = new byte[COPY_BUFFER_BYTES];
            int read = lines.read(buffer);
            while (read >= 0) {
                digest.update(buffer, 0, read);
                read = lines.read(buffer);
            }
        }
    }

    private void writeFrame() throws IOException {
        if (frame.isEmpty()) {
            return;
        }
        byte[] content = frame.toString().getBytes(StandardCharsets.UTF_8);
        frame.setLength(0);
        digest.update(content);
        try (ZstdCompressCtx context = new ZstdCompressCtx()) {
            context.setLevel(COMPRESSION_LEVEL).setChecksum(true).setContentSize(true);
            file.write(context.compress(content));
        }
    }
}
