package org.masticcroft.service.http;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.ConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.Scheduler;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.event.EventLog;

/**
 * Connector that serves the connections which the kernel has established before it stops listening. Closing the
 * listening socket resets those that are not accepted yet, so the connector accepts them first.
 *
 * <p>One acceptor thread owns the listening socket and closes it. It is woken by a connection, because an interrupt in
 * {@code accept} closes the socket and can lose the connection that it was about to return.
 */
final class DrainingConnector extends ServerConnector {
    private static final int ACCEPTORS = 1;

    /** Selector threads; -1 leaves the number to Jetty. */
    private static final int DEFAULT_SELECTORS = -1;

    /** Longest wait for the acceptor, and for the selectors to take over accepted connections. */
    private static final Duration STEP_TIMEOUT = Duration.ofSeconds(1);

    private final AtomicInteger accepted = new AtomicInteger();
    private final Semaphore opened = new Semaphore(0);
    private final CountDownLatch listenerClosed = new CountDownLatch(1);
    private volatile boolean stopping;

    private DrainingConnector(
            Server server,
            Executor executor,
            Scheduler scheduler,
            ByteBufferPool bufferPool,
            ConnectionFactory... factories) {
        super(server, executor, scheduler, bufferPool, ACCEPTORS, DEFAULT_SELECTORS, factories);
    }

    /** Creates a connector that is not started yet. */
    static DrainingConnector of(
            Server server,
            Executor executor,
            Scheduler scheduler,
            ByteBufferPool bufferPool,
            ConnectionFactory... factories) {
        return new DrainingConnector(server, executor, scheduler, bufferPool, factories);
    }

    @Override
    public void accept(int acceptor) throws IOException {
        ServerSocketChannel listener = (ServerSocketChannel) getTransport();
        if (listener == null || !listener.isOpen()) {
            return;
        }
        take(listener.accept());
        if (stopping) {
            acceptPendingAndClose(listener);
        }
    }

    @Override
    public CompletableFuture<Void> shutdown() {
        stopping = true;
        wakeAcceptor();
        awaitAcceptedConnections();
        return super.shutdown();
    }

    @Override
    protected void onEndPointOpened(EndPoint endPoint) {
        super.onEndPointOpened(endPoint);
        opened.release();
    }

    private void take(SocketChannel connection) throws IOException {
        connection.configureBlocking(false);
        connection.setOption(StandardSocketOptions.TCP_NODELAY, true);
        accepted.incrementAndGet();
        getSelectorManager().accept(connection);
    }

    private void acceptPendingAndClose(ServerSocketChannel listener) throws IOException {
        listener.configureBlocking(false);
        SocketChannel connection = listener.accept();
        while (connection != null) {
            take(connection);
            connection = listener.accept();
        }
        listener.close();
        listenerClosed.countDown();
    }

    private void wakeAcceptor() {
        try {
            ServerSocketChannel listener = (ServerSocketChannel) getTransport();
            if (listener != null && listener.isOpen()) {
                SocketChannel.open(listener.getLocalAddress()).close();
            }
        } catch (IOException e) {
            // A connection of a caller woke the acceptor first. Otherwise the wait for it ends with a warning.
        }
    }

    /** Jetty waits only for the connections that a selector has taken over. */
    private void awaitAcceptedConnections() {
        try {
            boolean taken = listenerClosed.await(STEP_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                    && opened.tryAcquire(accepted.get(), STEP_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
            if (!taken) {
                EventLog.warn(Event.INTERNAL_ERROR, "component", "http-server", "step", "accept-pending");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
