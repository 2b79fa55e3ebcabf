package org.masticcroft.gateway.http;

import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.masticcroft.gateway.loop.InputClock;
import org.masticcroft.kernel.time.TimeSource;

/**
 * Server channel that accepts the connections which the kernel has established before it closes. Closing a listening
 * socket resets those that are not accepted yet.
 */
final class DrainingServerChannel extends NioServerSocketChannel {
    private static final long SELECTION_WAIT_MILLIS = 1;

    private final TimeSource time;
    private final InputClock inputs;
    private OptionalLong deregisteredNanos = OptionalLong.empty();
    private boolean connectionsLeft;
    private long acceptedNanos;
    private long earliestArrivalNanos;

    /**
     * Creates a channel.
     *
     * @param time time source
     * @param inputs bounds when a connection was established
     */
    DrainingServerChannel(TimeSource time, InputClock inputs) {
        this.time = time;
        this.inputs = inputs;
        this.earliestArrivalNanos = inputs.earliestArrivalNanos();
    }

    /** Returns the monotonic time in nanoseconds before which the last accepted connection was not established. */
    long earliestArrivalNanos() {
        return deregisteredNanos.orElse(earliestArrivalNanos);
    }

    /** Accepts a connection. One read accepts a limited number, so that others wait for the next turn of the loop. */
    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
        long earliest = inputs.earliestArrivalNanos();
        // A selection since the last accept that did not find a connection shows that none was left.
        if (!connectionsLeft || earliest > acceptedNanos) {
            earliestArrivalNanos = earliest;
        }
        connectionsLeft = true;
        int count = super.doReadMessages(accepted);
        connectionsLeft = count > 0;
        acceptedNanos = time.nanoTime();
        return count;
    }

    /**
     * Closes the channel once no established connection is pending. The socket leaves the selector first, because a
     * registered socket stays open until the next selection, and connections established until then would be reset.
     */
    static void acceptPendingAndClose(Channel channel) {
        DrainingServerChannel listener = (DrainingServerChannel) channel;
        listener.deregisteredNanos = OptionalLong.of(listener.inputs.earliestArrivalNanos());
        listener.deregister().addListener(done -> listener.closeOnceUnregistered());
    }

    /** Waits for a selection, because a cancelled key stays registered until then. */
    private void closeOnceUnregistered() {
        if (javaChannel().isRegistered()) {
            eventLoop().schedule(this::closeOnceUnregistered, SELECTION_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            acceptPendingAndClose();
        }
    }

    private void acceptPendingAndClose() {
        List<Object> accepted = new ArrayList<>();
        try {
            while (doReadMessages(accepted) > 0) {
                // Each call accepts one connection.
            }
            // Closes the socket before the channel, since what is established in between would be reset.
            javaChannel().close();
        } catch (Exception e) {
            pipeline().fireExceptionCaught(e);
        }
        close();
        accepted.forEach(pipeline()::fireChannelRead);
        pipeline().fireChannelReadComplete();
    }
}
