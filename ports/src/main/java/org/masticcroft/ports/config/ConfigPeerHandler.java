package org.masticcroft.ports.config;

import com.google.protobuf.ByteString;
import java.util.Objects;
import org.masticcroft.kernel.config.ConfigRecord;
import org.masticcroft.kernel.config.ConfigState;
import org.masticcroft.kernel.config.ConfigView;
import org.masticcroft.wire.PeerHandler;
import org.masticcroft.wire.PeerResponder;
import org.masticcroft.wire.generated.ConfigReply;
import org.masticcroft.wire.generated.Envelope;

/** Answers {@code ConfigRequest} with the configuration of this process and passes all other messages on. */
public final class ConfigPeerHandler implements PeerHandler {
    private final ConfigView config;
    private final PeerHandler next;

    private ConfigPeerHandler(ConfigView config, PeerHandler next) {
        this.config = config;
        this.next = next;
    }

    /**
     * Creates a handler.
     *
     * @param config the configuration of this process
     * @param next handler of all other messages
     */
    public static ConfigPeerHandler of(ConfigView config, PeerHandler next) {
        return new ConfigPeerHandler(Objects.requireNonNull(config, "config"), Objects.requireNonNull(next, "next"));
    }

    @Override
    public void onRequest(Envelope request, PeerResponder responder) {
        if (request.hasConfigRequest()) {
            responder.finish(Envelope.newBuilder().setConfigReply(reply(config.state())));
        } else {
            next.onRequest(request, responder);
        }
    }

    @Override
    public void onMessage(Envelope message, PeerResponder responder) {
        next.onMessage(message, responder);
    }

    @Override
    public void onDisconnect(PeerResponder responder) {
        next.onDisconnect(responder);
    }

    private static ConfigReply reply(ConfigState state) {
        ConfigReply.Builder reply = ConfigReply.newBuilder().setVersion(state.version());
        if (state.version() > 0) {
            reply.setSnapshot(
                    ByteString.copyFrom(ConfigRecord.Snapshot.of(state).encode()));
        }
        return reply.build();
    }
}
