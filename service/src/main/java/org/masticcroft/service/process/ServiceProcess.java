package org.masticcroft.service.process;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CountDownLatch;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.event.EventLog;
import org.masticcroft.kernel.lifecycle.Role;
import org.masticcroft.service.http.ServiceApplication;

/** Runs one role until SIGTERM and then stops it gracefully. */
public final class ServiceProcess {
    private final ServiceContext context;
    private final Role role;
    private final ServiceApplication application;
    private final AutoCloseable peerServer;
    private final Duration drainDeadline;
    private final CountDownLatch stopped = new CountDownLatch(1);

    private ServiceProcess(
            ServiceContext context,
            Role role,
            ServiceApplication application,
            AutoCloseable peerServer,
            Duration drainDeadline) {
        this.context = context;
        this.role = role;
        this.application = application;
        this.peerServer = peerServer;
        this.drainDeadline = drainDeadline;
    }

    /**
     * Creates a process.
     *
     * @param peerServer the peer server, closed after the role has drained; a no-op if the role closes its own
     */
    public static ServiceProcess of(
            ServiceContext context,
            Role role,
            ServiceApplication application,
            AutoCloseable peerServer,
            Duration drainDeadline) {
        return new ServiceProcess(
                Objects.requireNonNull(context, "context"),
                Objects.requireNonNull(role, "role"),
                Objects.requireNonNull(application, "application"),
                Objects.requireNonNull(peerServer, "peerServer"),
                Objects.requireNonNull(drainDeadline, "drainDeadline"));
    }

    /** Starts the process and returns once it has stopped. */
    public void run() throws Exception {
        Runtime.getRuntime().addShutdownHook(new Thread(this::stop, "graceful-stop"));
        context.start();
        role.start();
        application.start();
        EventLog.info(Event.PROCESS_STARTED, "role", role.getClass().getSimpleName());
        stopped.await();
    }

    /** Runs in the shutdown hook, which the JVM starts only once, so a second SIGTERM has no effect. */
    private void stop() {
        GracefulStop.of(role, application::stop, List.of(peerServer, context), drainDeadline)
                .run();
        stopped.countDown();
    }
}
