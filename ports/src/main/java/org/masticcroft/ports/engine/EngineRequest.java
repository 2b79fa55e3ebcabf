package org.masticcroft.ports.engine;

import java.util.Objects;
import org.masticcroft.kernel.id.WeightsDigest;

/**
 * A request for a completion.
 *
 * @param requestId id by which the request can be cancelled
 * @param path path with a leading slash
 * @param body request as JSON in the format of the OpenAI API; must not be modified
 * @param stream whether the response is a stream of server-sent events
 * @param weights digest of the only weights that may serve the request
 * @param priority priority at the engine; 0 is most urgent
 * @param resumeFrom index of the first token to send; 0 for the whole response
 */
public record EngineRequest(
        String requestId,
        String path,
        byte[] body,
        boolean stream,
        WeightsDigest weights,
        int priority,
        int resumeFrom) {
    public EngineRequest {
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(body, "body");
        Objects.requireNonNull(weights, "weights");
    }
}
