import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** An entry of the project as a separate process, with the command of the deploy file. */
final class Program implements AutoCloseable {
    private static final long READY_NANOS = TimeUnit.SECONDS.toNanos(30);

    final String ip;
    final int port;
    private final int readyPort;
    private final Process process;

    private Program(String ip, int port, int readyPort, Process process) {
        this.ip = ip;
        this.port = port;
        this.readyPort = readyPort;
        this.process = process;
    }

    /**
     * Starts an entry and waits until it is ready.
     *
     * @param root root of the repository
     * @param folder folder for the settings and the log
     * @param ip loopback address of its machine
     * @param zones zones with their regions, as in the settings; the entry is in the first one
     * @param store port of the store
     */
    static Program startEntry(Path root, Path folder, String ip, String zones, int store) throws Exception {
        int port = freePort(ip);
        int readyPort = freePort(ip);
        Path settings = folder.resolve("settings.properties");
        Files.writeString(
                settings,
                String.join(
                        "\n",
                        "name=front-1",
                        "ip=" + ip,
                        "zone=" + zones.split(":")[0],
                        "regions=" + zones,
                        "callers=" + ip + ":" + port,
                        "readiness=" + ip + ":" + readyPort,
                        "metrics=" + ip + ":" + freePort(ip),
                        "peer.port=" + freePort(ip),
                        "link.mbit-per-s=1000.0",
                        "descriptors=4100",
                        "store=127.0.0.1:" + store,
                        "engine=",
                        "engine.service=",
                        "bounds.revocation.ms=5000",
                        "bounds.version-change.ms=8000",
                        "bounds.grace.s=8",
                        "retry.share=0.2",
                        "retry.window.s=10",
                        "cold.over=",
                        "cold.slack=",
                        "hedging.share=",
                        ""));
        ProcessBuilder builder = new ProcessBuilder(command(root, "entry")).directory(root.toFile());
        builder.environment().put("MASTICCROFT_SETTINGS", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(folder.resolve("entry.log").toFile());
        Program program = new Program(ip, port, readyPort, builder.start());
        Runtime.getRuntime().addShutdownHook(new Thread(program.process::destroyForcibly));
        long start = System.nanoTime();
        while (!program.ready()) {
            if (!program.process.isAlive() || System.nanoTime() - start > READY_NANOS) {
                program.close();
                throw new IllegalStateException("the entry did not become ready");
            }
            Thread.sleep(50);
        }
        return program;
    }

    boolean alive() {
        return process.isAlive();
    }

    /** Returns the exit code of a process that has ended. */
    int exitCode() {
        return process.exitValue();
    }

    boolean ready() {
        try (Socket connection = new Socket(ip, readyPort)) {
            connection.setSoTimeout(1000);
            connection.getOutputStream().write(Http.bytes("GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n"));
            InputStream in = connection.getInputStream();
            Http.Head head = Http.readHead(in);
            return head != null && head.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public void close() throws Exception {
        process.destroy();
        if (!process.waitFor(10, TimeUnit.SECONDS)) {
            process.destroyForcibly().waitFor();
        }
    }

    private static int freePort(String ip) throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return probe.getLocalPort();
        }
    }

    /** Returns the command of a role in the deploy file. */
    private static List<String> command(Path root, String role) throws IOException {
        boolean inRole = false;
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("[")) {
                inRole = line.equals("[roles." + role + "]");
            }
            if (inRole && line.startsWith("run = ")) {
                return new ArrayList<>(
                        List.of(line.substring("run = \"".length(), line.length() - 1).split(" ")));
            }
        }
        throw new IOException("the deploy file has no role " + role);
    }
}
