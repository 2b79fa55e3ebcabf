package review;

import java.io.File;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Starts the roles of deploy/system.toml as processes, each on a loopback address of its own, and ends them. */
final class Deployment implements AutoCloseable {
    private static final List<String> PASSED_VARIABLES = List.of("PATH", "HOME", "JAVA_HOME", "LANG");

    private final String ip = freeIp();
    private final String sidecarIp = freeIp();
    private final Path folder;
    private final List<Process> processes = new ArrayList<>();
    private final int peerPort;

    private Deployment(Path folder) throws IOException {
        this.folder = folder;
        this.peerPort = freePort(ip);
    }

    /** Creates a deployment whose settings and logs lie in a temporary folder. */
    static Deployment create() throws IOException {
        Deployment deployment = new Deployment(Files.createTempDirectory("masticcroft-review"));
        Runtime.getRuntime().addShutdownHook(new Thread(deployment::close));
        return deployment;
    }

    /** Returns the address of the entry, the clients and the platform. */
    String ip() {
        return ip;
    }

    /** Returns the address of the machine of the sidecar and its engine. */
    String sidecarIp() {
        return sidecarIp;
    }

    /** Starts an entry that serves callers at an address. */
    Process startEntry(String store, String callers, String readiness) throws IOException {
        return start("entry", ip, store, Map.of("listen.front", callers, "listen.ready", readiness));
    }

    /** Starts a further entry, on an address of its own; returns the address for callers once it is ready. */
    String startFurtherEntry(String store) throws IOException, InterruptedException {
        String machineIp = freeIp();
        String callers = machineIp + ":" + freePort(machineIp);
        String readiness = machineIp + ":" + freePort(machineIp);
        start("entry", machineIp, store, Map.of("listen.front", callers, "listen.ready", readiness));
        Client.awaitReady(readiness);
        return callers;
    }

    /** Starts the sidecar of an engine, on the machine of the engine. */
    Process startSidecar(String store, String engine, String service) throws IOException {
        String machineIp = engine.substring(0, engine.indexOf(':'));
        return start("sidecar", machineIp, store, Map.of("app", engine, "service", service));
    }

    private Process start(String role, String machineIp, String store, Map<String, String> fields)
            throws IOException {
        Map<String, String> values = new HashMap<>(Map.of(
                "node-name", role + "-1",
                "ip", machineIp,
                "zone", "z1",
                "internal-ports.0", Integer.toString(peerPort),
                "limits.link-mbps", "100.0",
                "platform.address", store,
                "bounds.revoke-ms", "5000",
                "bounds.version_ms", "8000",
                "bounds.grace-s", "8",
                "bounds.budget-ratio", "0.2"));
        values.put("bounds.budget-window-s", "10");
        values.putAll(fields);
        String deployFile = Files.readString(Path.of("deploy/system.toml"));
        String section = deployFile.substring(deployFile.indexOf("[roles." + role + "]"));
        String command = field(section, "run");
        Path settings = folder.resolve(role + processes.size() + ".settings");
        Files.writeString(settings, render(Files.readString(Path.of(field(section, "template"))), values));
        ProcessBuilder builder = new ProcessBuilder(command.split(" "));
        builder.environment().keySet().retainAll(PASSED_VARIABLES);
        builder.environment().put("MASTICCROFT_SETTINGS", settings.toString());
        File log = folder.resolve(role + ".log").toFile();
        Process process =
                builder.redirectErrorStream(true).redirectOutput(log).start();
        processes.add(process);
        return process;
    }

    private static String field(String section, String name) {
        Matcher matcher = Pattern.compile("(?m)^" + name + " = \"(.*)\"$").matcher(section);
        if (!matcher.find()) {
            throw new IllegalStateException("the deploy file has no field " + name);
        }
        return matcher.group(1);
    }

    private static String render(String template, Map<String, String> values) {
        String withZones = template.replaceAll("\\{\\{#zones}}.*?\\{\\{/zones}}", "z1:r1");
        return Pattern.compile("\\{\\{([a-z0-9_.-]+)}}")
                .matcher(withZones)
                .replaceAll(match -> Matcher.quoteReplacement(values.getOrDefault(match.group(1), "")));
    }

    /** Sends a signal to a process of the deployment. */
    static void signal(Process process, String name) throws IOException, InterruptedException {
        new ProcessBuilder("bash", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
    }

    /** Returns the log of a role, for the record of a case that cannot run. */
    String log(String role) throws IOException {
        Path log = folder.resolve(role + ".log");
        return Files.exists(log) ? Files.readString(log) : "";
    }

    @Override
    public synchronized void close() {
        for (Process process : processes) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        processes.clear();
        File[] files = folder.toFile().listFiles();
        for (File file : files == null ? new File[0] : files) {
            file.delete();
        }
        folder.toFile().delete();
    }

    /** Returns a port of an address that is free for TCP and UDP. */
    static int freePort(String ip) throws IOException {
        InetAddress address = InetAddress.getByName(ip);
        for (int attempt = 0; attempt < 100; attempt++) {
            try (ServerSocket stream = new ServerSocket(0, 1, address);
                    DatagramSocket datagram = new DatagramSocket(stream.getLocalPort(), address)) {
                return datagram.getLocalPort();
            } catch (IOException e) {
                // The port is in use for UDP; the next one is tried.
            }
        }
        throw new IOException("no free port");
    }

    /** Returns a loopback address at which the fixed port of the metrics is free. */
    static String freeIp() {
        Random random = new Random();
        while (true) {
            String ip = "127." + (1 + random.nextInt(250)) + "." + random.nextInt(250) + "." + (1 + random.nextInt(250));
            try (ServerSocket free = new ServerSocket(9464, 1, InetAddress.getByName(ip))) {
                return ip;
            } catch (IOException e) {
                // Another process uses the port at this address.
            }
        }
    }
}
