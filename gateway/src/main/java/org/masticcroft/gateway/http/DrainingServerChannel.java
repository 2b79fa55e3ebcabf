package org.masticcroft.gateway.http;

import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.masticcroft.gateway.loop.InputClock;

/**
 * Server channel that accepts the connections which the kernel has established before it closes. Closing a listening
 * socket resets those that are not accepted yet.
 */
final class DrainingServerChannel extends NioServerSocketChannel {
    private static final long SELECTION_WAIT_MILLIS = 1;

    private final InputClock inputs;
    private boolean connectionsLeft;
    private long earliestArrivalNanos;

    /**
     * Creates a channel.
     *
     * @param inputs bounds when a connection was established
     */
    DrainingServerChannel(InputClock inputs) {
        this.inputs = inputs;
        this.earliestArrivalNanos = inputs.earliestArrivalNanos();
    }

    /** Returns the monotonic time in nanoseconds before which the last accepted connection was not established. */
    long earliestArrivalNanos() {
        return earliestArrivalNanos;
    }

    /** Accepts a connection. One read accepts a limited number, so that others wait for the next turn of the loop. */
    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
        if (!connectionsLeft) {
            earliestArrivalNanos = inputs.earliestArrivalNanos();
        }
        int count = super.doReadMessages(accepted);
        connectionsLeft = count > 0;
        return count;
    }

    /**
     * Closes the channel once no established connection is pending. The socket leaves the selector first, because a
     * registered socket stays open until the next selection, and connections established until then would be reset.
     */
    static void acceptPendingAndClose(Channel channel) {
        DrainingServerChannel listener = (DrainingServerChannel) channel;
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
