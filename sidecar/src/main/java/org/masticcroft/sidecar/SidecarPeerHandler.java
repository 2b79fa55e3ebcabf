package org.masticcroft.sidecar;

import java.util.Objects;
import java.util.Optional;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.event.EventLog;
import org.masticcroft.sidecar.dispatch.Dispatcher;
import org.masticcroft.sidecar.status.StatusReporter;
import org.masticcroft.sidecar.upload.ChunkUploads;
import org.masticcroft.wire.PeerHandler;
import org.masticcroft.wire.PeerResponder;
import org.masticcroft.wire.generated.Acknowledgement;
import org.masticcroft.wire.generated.ChunkReply;
import org.masticcroft.wire.generated.Envelope;
import org.masticcroft.wire.generated.HaveReply;
import org.masticcroft.wire.generated.OutcomeReply;

/** Routes peer protocol requests to the components of the sidecar. Runs on I/O threads and never blocks. */
final class SidecarPeerHandler implements PeerHandler {
    private final Dispatcher dispatcher;
    private final StatusReporter status;
    private final Optional<ChunkUploads> uploads;

    SidecarPeerHandler(Dispatcher dispatcher, StatusReporter status, Optional<ChunkUploads> uploads) {
        this.dispatcher = Objects.requireNonNull(dispatcher, "dispatcher");
        this.status = Objects.requireNonNull(status, "status");
        this.uploads = Objects.requireNonNull(uploads, "uploads");
    }

    @Override
    public void onRequest(Envelope request, PeerResponder responder) {
        try {
            handle(request, responder);
        } catch (RuntimeException e) {
            EventLog.error(Event.INTERNAL_ERROR, e, "message", request.getBodyCase());
            acknowledge(responder);
        }
    }

    @Override
    public void onMessage(Envelope message, PeerResponder responder) {
        if (message.hasCancel()) {
            dispatcher.cancel(responder);
        }
    }

    @Override
    public void onDisconnect(PeerResponder responder) {
        dispatcher.cancel(responder);
    }

    private void handle(Envelope request, PeerResponder responder) {
        switch (request.getBodyCase()) {
            case DISPATCH -> dispatcher.dispatch(request.getDispatch(), responder);
            case STATUS_REQUEST -> responder.finish(Envelope.newBuilder().setStatusReply(status.status()));
            case HAVE_REQUEST, CHUNK_REQUEST -> handleWeightsRequest(request, responder);
            case OUTCOME_REQUEST ->
                responder.finish(Envelope.newBuilder().setOutcomeReply(OutcomeReply.getDefaultInstance()));
            default -> acknowledge(responder);
        }
    }

    private void handleWeightsRequest(Envelope request, PeerResponder responder) {
        if (uploads.isPresent() && request.hasHaveRequest()) {
            uploads.get().handleBitmapRequest(request.getHaveRequest(), responder);
        } else if (uploads.isPresent()) {
            uploads.get().handleChunkRequest(request.getChunkRequest(), responder);
        } else if (request.hasHaveRequest()) {
            responder.finish(Envelope.newBuilder().setHaveReply(HaveReply.getDefaultInstance()));
        } else {
            responder.finish(
                    Envelope.newBuilder().setChunkReply(ChunkReply.newBuilder().setStatus(ChunkReply.Status.MISSING)));
        }
    }

    private static void acknowledge(PeerResponder responder) {
        responder.finish(Envelope.newBuilder().setAcknowledgement(Acknowledgement.getDefaultInstance()));
    }
}
