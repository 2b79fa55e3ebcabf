package org.masticcroft.sidecar.dispatch;

import java.util.Objects;
import java.util.Optional;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.kernel.id.WeightsDigest;
import org.masticcroft.kernel.verdict.Verdict;
import org.masticcroft.ports.engine.EngineClient;
import org.masticcroft.ports.engine.EngineRequest;
import org.masticcroft.ports.engine.EngineState;
import org.masticcroft.ports.service.UpstreamCall;
import org.masticcroft.ports.service.UpstreamResponse;
import org.masticcroft.sidecar.target.EngineMonitor;
import org.masticcroft.sidecar.target.WeightsUsageTracker;
import org.masticcroft.wire.generated.Dispatch;

/** Connector to an engine. */
public final class EngineConnector implements UpstreamConnector {
    private final EngineClient client;
    private final EngineMonitor monitor;
    private final WeightsUsageTracker weightsUsage;

    private EngineConnector(EngineClient client, EngineMonitor monitor, WeightsUsageTracker weightsUsage) {
        this.client = client;
        this.monitor = monitor;
        this.weightsUsage = weightsUsage;
    }

    /** Creates a connector to one engine. */
    public static EngineConnector of(EngineClient client, EngineMonitor monitor, WeightsUsageTracker weightsUsage) {
        return new EngineConnector(
                Objects.requireNonNull(client, "client"),
                Objects.requireNonNull(monitor, "monitor"),
                Objects.requireNonNull(weightsUsage, "weightsUsage"));
    }

    @Override
    public int slots() {
        return monitor.latest().map(EngineState::slots).orElse(0);
    }

    @Override
    public String incarnation() {
        return monitor.incarnation();
    }

    @Override
    public Optional<ErrorCode> refusalReason(Dispatch dispatch) {
        boolean usable = WeightsDigest.isValid(dispatch.getWeightsDigest())
                && monitor.isLoaded(digest(dispatch))
                && !weightsUsage.isRetiring(digest(dispatch));
        return usable ? Optional.empty() : Optional.of(ErrorCode.WEIGHTS_NOT_LOADED);
    }

    @Override
    public boolean reserve(Dispatch dispatch) {
        if (!weightsUsage.tryAcquire(digest(dispatch))) {
            return false;
        }
        if (monitor.isLoaded(digest(dispatch))) {
            return true;
        }
        weightsUsage.release(digest(dispatch));
        return false;
    }

    @Override
    public void release(Dispatch dispatch) {
        weightsUsage.release(digest(dispatch));
    }

    @Override
    public UpstreamCall open(Dispatch dispatch) {
        return client.open(new EngineRequest(
                dispatch.getRequestId(),
                dispatch.getPath(),
                dispatch.getBody().toByteArray(),
                dispatch.getStream(),
                digest(dispatch),
                dispatch.getRankOrder(),
                dispatch.getResumeFrom()));
    }

    @Override
    public void cancel(Dispatch dispatch) {
        client.cancel(dispatch.getRequestId());
    }

    @Override
    public boolean hasProcessEnded(String incarnation) {
        monitor.refresh();
        return !monitor.incarnation().equals(incarnation);
    }

    @Override
    public ResponseFilter responseFilter(Dispatch dispatch, UpstreamResponse response, String incarnation) {
        if (response.status() / 100 != 2) {
            return new PlainResponseFilter();
        }
        requireReported("weights digest", dispatch.getWeightsDigest(), response.weightsDigest());
        requireReported("incarnation", incarnation, response.incarnation());
        return dispatch.getStream()
                ? new StreamResponseFilter(dispatch.getWeightsDigest())
                : new CompletionResponseFilter();
    }

    private static void requireReported(String property, String expected, Optional<String> reported) {
        if (!reported.equals(Optional.of(expected))) {
            throw MasticcroftException.of(
                    ErrorCode.WEIGHTS_MISMATCH,
                    Verdict.RAN,
                    "the engine reports " + property + " " + reported.orElse("none") + " instead of " + expected);
        }
    }

    private static WeightsDigest digest(Dispatch dispatch) {
        return WeightsDigest.of(dispatch.getWeightsDigest());
    }
}
