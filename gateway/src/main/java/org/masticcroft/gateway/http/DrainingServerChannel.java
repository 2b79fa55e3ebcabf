package org.masticcroft.gateway.http;

import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.ArrayList;
import java.util.List;

/**
 * Server channel that accepts the connections which the kernel has established before it closes. Closing a listening
 * socket resets those that are not accepted yet.
 */
public final class DrainingServerChannel extends NioServerSocketChannel {
    /** Creates a channel; Netty calls it by reflection. */
    public DrainingServerChannel() {}

    /**
     * Closes the channel once no established connection is pending. The socket leaves the selector first, because a
     * registered socket stays open until the next selection, and connections established until then would be reset.
     */
    static void acceptPendingAndClose(Channel channel) {
        DrainingServerChannel listener = (DrainingServerChannel) channel;
        listener.deregister().addListener(done -> listener.eventLoop().execute(listener::acceptPendingAndClose));
    }

    private void acceptPendingAndClose() {
        List<Object> accepted = new ArrayList<>();
        try {
            while (doReadMessages(accepted) > 0) {
                // Each call accepts one connection.
            }
        } catch (Exception e) {
            pipeline().fireExceptionCaught(e);
        }
        close();
        accepted.forEach(pipeline()::fireChannelRead);
        pipeline().fireChannelReadComplete();
    }
}
