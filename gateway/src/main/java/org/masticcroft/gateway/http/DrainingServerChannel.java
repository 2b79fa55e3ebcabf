package org.masticcroft.gateway.http;

import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Server channel that accepts the connections which the kernel has established before it closes. Closing a listening
 * socket resets those that are not accepted yet.
 */
public final class DrainingServerChannel extends NioServerSocketChannel {
    private static final long SELECTION_WAIT_MILLIS = 1;

    /** Creates a channel; Netty calls it by reflection. */
    public DrainingServerChannel() {}

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
