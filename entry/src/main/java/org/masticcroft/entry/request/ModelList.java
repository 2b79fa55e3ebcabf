package org.masticcroft.entry.request;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.masticcroft.entry.order.StoredAnswer;
import org.masticcroft.kernel.config.FleetConfig;

/** Creates the list of deployments in the format of the OpenAI API. */
final class ModelList {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ModelList() {}

    static StoredAnswer answer(FleetConfig config) {
        ObjectNode list = MAPPER.createObjectNode().put("object", "list");
        ArrayNode data = list.putArray("data");
        config.deployments().forEach((name, deployment) -> {
            ObjectNode model = data.addObject()
                    .put("id", name)
                    .put("object", "model")
                    .put("owned_by", "masticcroft")
                    .put("model", deployment.model())
                    .put("version", deployment.version());
            config.versionOf(deployment)
                    .ifPresent(version ->
                            model.put("weights_digest", version.digest().value()));
            deployment.adapter().ifPresent(adapter -> model.put("adapter", adapter));
        });
        try {
            return new StoredAnswer(200, "application/json", MAPPER.writeValueAsBytes(list));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a tree of JSON nodes is always serialisable", e);
        }
    }
}
