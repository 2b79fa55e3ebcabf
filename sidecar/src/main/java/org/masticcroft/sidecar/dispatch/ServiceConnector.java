package org.masticcroft.sidecar.dispatch;

import java.util.Objects;
import java.util.Optional;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.ports.service.ServiceClient;
import org.masticcroft.ports.service.UpstreamCall;
import org.masticcroft.ports.service.UpstreamRequest;
import org.masticcroft.ports.service.UpstreamResponse;
import org.masticcroft.wire.generated.Dispatch;

/** Connector to a plain service, which has neither weights nor cancellation and reports no incarnation. */
public final class ServiceConnector implements UpstreamConnector {
    private final ServiceClient client;
    private final int slots;

    private ServiceConnector(ServiceClient client, int slots) {
        this.client = client;
        this.slots = slots;
    }

    /** Creates a connector for at most {@code slots} concurrent requests. */
    public static ServiceConnector of(ServiceClient client, int slots) {
        return new ServiceConnector(Objects.requireNonNull(client, "client"), slots);
    }

    @Override
    public int slots() {
        return slots;
    }

    @Override
    public String incarnation() {
        return "";
    }

    @Override
    public Optional<ErrorCode> refusalReason(Dispatch dispatch) {
        return Optional.empty();
    }

    @Override
    public boolean reserve(Dispatch dispatch) {
        return true;
    }

    @Override
    public void release(Dispatch dispatch) {}

    @Override
    public UpstreamCall open(Dispatch dispatch) {
        return client.open(new UpstreamRequest(
                dispatch.getRequestId(),
                dispatch.getMethod(),
                dispatch.getPath(),
                dispatch.getContentType(),
                dispatch.getBody().toByteArray(),
                dispatch.getIdempotent()));
    }

    @Override
    public void cancel(Dispatch dispatch) {}

    @Override
    public boolean hasProcessEnded(String incarnation) {
        return !client.acceptsConnections();
    }

    @Override
    public ResponseFilter responseFilter(Dispatch dispatch, UpstreamResponse response, String incarnation) {
        return new PlainResponseFilter();
    }
}
