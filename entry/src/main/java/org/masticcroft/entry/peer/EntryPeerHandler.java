package org.masticcroft.entry.peer;

import com.google.protobuf.ByteString;
import java.util.Objects;
import org.masticcroft.entry.EntrySettings;
import org.masticcroft.entry.order.OutcomeCache;
import org.masticcroft.entry.suspect.SuspectTable;
import org.masticcroft.entry.upstream.UpstreamTable;
import org.masticcroft.entry.version.ConfigAge;
import org.masticcroft.entry.version.VersionGate;
import org.masticcroft.kernel.config.ConfigView;
import org.masticcroft.wire.PeerHandler;
import org.masticcroft.wire.PeerResponder;
import org.masticcroft.wire.generated.Acknowledgement;
import org.masticcroft.wire.generated.Envelope;
import org.masticcroft.wire.generated.LeavingNotice;
import org.masticcroft.wire.generated.OutcomeReply;
import org.masticcroft.wire.generated.StatusReply;
import org.masticcroft.wire.generated.SuspectNotice;

/**
 * Handles the peer requests of the entry role and delegates all others to the next handler, for example the one that
 * answers {@code ConfigRequest}.
 */
public final class EntryPeerHandler implements PeerHandler {
    private static final String ROLE = "entry";

    private final EntrySettings settings;
    private final ConfigView config;
    private final VersionGate versions;
    private final UpstreamTable upstreams;
    private final SuspectTable suspects;
    private final OutcomeCache outcomes;
    private final PeerHandler next;

    private EntryPeerHandler(
            EntrySettings settings,
            ConfigView config,
            VersionGate versions,
            UpstreamTable upstreams,
            SuspectTable suspects,
            OutcomeCache outcomes,
            PeerHandler next) {
        this.settings = settings;
        this.config = config;
        this.versions = versions;
        this.upstreams = upstreams;
        this.suspects = suspects;
        this.outcomes = outcomes;
        this.next = next;
    }

    /**
     * Creates a handler.
     *
     * @param next handles the requests that do not concern the entry role
     */
    public static EntryPeerHandler of(
            EntrySettings settings,
            ConfigView config,
            VersionGate versions,
            UpstreamTable upstreams,
            SuspectTable suspects,
            OutcomeCache outcomes,
            PeerHandler next) {
        return new EntryPeerHandler(
                Objects.requireNonNull(settings, "settings"),
                Objects.requireNonNull(config, "config"),
                Objects.requireNonNull(versions, "versions"),
                Objects.requireNonNull(upstreams, "upstreams"),
                Objects.requireNonNull(suspects, "suspects"),
                Objects.requireNonNull(outcomes, "outcomes"),
                Objects.requireNonNull(next, "next"));
    }

    @Override
    public void onRequest(Envelope request, PeerResponder responder) {
        versions.onPeerVersion(request.getConfigVersion());
        switch (request.getBodyCase()) {
            case STATUS_REQUEST -> responder.finish(Envelope.newBuilder().setStatusReply(status()));
            case LEAVING_NOTICE -> onLeavingNotice(request.getLeavingNotice(), responder);
            case OUTCOME_REQUEST ->
                responder.finish(Envelope.newBuilder()
                        .setOutcomeReply(outcome(request.getOutcomeRequest().getKeyDigest())));
            case SUSPECT_NOTICE -> onSuspectNotice(request.getSuspectNotice(), responder);
            default -> next.onRequest(request, responder);
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

    private StatusReply.Builder status() {
        return StatusReply.newBuilder()
                .setInstance(settings.instance())
                .setRole(ROLE)
                .setRegion(settings.region())
                .setDataCentre(settings.dataCentre())
                .setConfigVersion(config.state().version())
                .setConfigAgeMs(ConfigAge.millis(config))
                .setConfigConfirmed(config.confirmed());
    }

    private void onLeavingNotice(LeavingNotice notice, PeerResponder responder) {
        upstreams.onLeaving(notice.getInstance());
        acknowledge(responder);
    }

    private void onSuspectNotice(SuspectNotice notice, PeerResponder responder) {
        suspects.onNotice(notice.getFingerprint(), notice.getCrashCount());
        acknowledge(responder);
    }

    private OutcomeReply outcome(String keyDigest) {
        return outcomes.find(keyDigest)
                .map(answer -> OutcomeReply.newBuilder()
                        .setFound(true)
                        .setStatus(answer.status())
                        .setContentType(answer.contentType())
                        .setBody(ByteString.copyFrom(answer.body()))
                        .build())
                .orElse(OutcomeReply.getDefaultInstance());
    }

    private static void acknowledge(PeerResponder responder) {
        responder.finish(Envelope.newBuilder().setAcknowledgement(Acknowledgement.getDefaultInstance()));
    }
}
