package org.masticcroft.account.export;

import com.github.luben.zstd.ZstdInputStream;
import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.masticcroft.account.batch.Batch;
import org.masticcroft.account.batch.Sha256;

/** Reads an exported file line by line and passes its content to a handler. */
public final class ExportReader {
    private final Path file;

    private ExportReader(Path file) {
        this.file = file;
    }

    /** Creates a reader of a file. */
    public static ExportReader of(Path file) {
        return new ExportReader(Objects.requireNonNull(file, "file"));
    }

    /**
     * Reads the whole file.
     *
     * @throws IOException if the file cannot be read or decompressed
     */
    public void read(Handler handler) throws IOException {
        CharsetDecoder strictDecoder = StandardCharsets.UTF_8
                .newDecoder()
                .onMalformedInput(CodingErrorAction.REPORT)
                .onUnmappableCharacter(CodingErrorAction.REPORT);
        try (InputStream raw = new BufferedInputStream(Files.newInputStream(file));
                ZstdInputStream content = new ZstdInputStream(raw);
                BufferedReader lines = new BufferedReader(new InputStreamReader(content, strictDecoder))) {
            readLines(lines, handler);
        }
    }

    private static void readLines(BufferedReader lines, Handler handler) throws IOException {
        MessageDigest digest = Sha256.newDigest();
        String text = lines.readLine();
        while (text != null) {
            Optional<ExportLine> line = ExportCodec.parse(text);
            if (line.isEmpty()) {
                handler.malformedLine(text);
                update(digest, text);
            } else if (line.get() instanceof ExportLine.BatchLine batch) {
                update(digest, text);
                List<String> recordLines = readRecords(lines, batch.header().count(), digest);
                handler.batch(batch, new Batch(batch.header(), recordLines));
            } else if (line.get() instanceof ExportLine.End end) {
                handler.end(end, HexFormat.of().formatHex(digest.digest()));
            } else {
                update(digest, text);
                handler.otherLine(line.get());
            }
            text = lines.readLine();
        }
    }

    private static List<String> readRecords(BufferedReader lines, int count, MessageDigest digest) throws IOException {
        List<String> records = new ArrayList<>();
        while (records.size() < count) {
            String text = lines.readLine();
            if (text == null) {
                return records;
            }
            update(digest, text);
            records.add(text);
        }
        return records;
    }

    private static void update(MessageDigest digest, String line) {
        digest.update(line.getBytes(StandardCharsets.UTF_8));
        digest.update((byte) '\n');
    }

    /** Receives the content of an exported file in order. */
    public interface Handler {
        /** Called for each batch inside the interval; a batch at the end of a truncated file lacks records. */
        void batch(ExportLine.BatchLine line, Batch batch);

        /** Called for every other {@link ExportLine} except the last one. */
        default void otherLine(ExportLine line) {}

        /**
         * Called for the last line.
         *
         * @param digest SHA-256 in hex of all lines before it
         */
        default void end(ExportLine.End line, String digest) {}

        /** Called for a line that is not part of the format. */
        default void malformedLine(String text) {}
    }
}
