package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the time since the start of the case in seconds. */
final class CaseRecord implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    CaseRecord(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    synchronized void write(String format, Object... arguments) {
        String line = String.format(
                Locale.ROOT,
                "%8.3f %s",
                (System.nanoTime() - startNanos) / 1e9,
                String.format(Locale.ROOT, format, arguments));
        out.println(line);
        System.out.println(line);
    }

    @Override
    public void close() {
        out.close();
    }
}
