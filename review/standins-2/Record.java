import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a case: one line for each thing that was sent, answered or run, with milliseconds since the start. */
final class Record implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws Exception {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void write(String line) {
        out.println(millis() + " " + line);
    }

    /** Writes a line to the record and to standard output. */
    void say(String line) {
        write(line);
        System.out.println(line);
    }

    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
