package org.masticcroft.sidecar.status;

import org.masticcroft.kernel.config.ConfigView;
import org.masticcroft.wire.generated.ConfigReply;
import org.masticcroft.wire.generated.ConfigRequest;

/** Answers peers that ask for the configuration. Must not block. */
@FunctionalInterface
public interface ConfigAnswer {
    ConfigReply answer(ConfigRequest request);

    /** Returns an answer with the version only; the view does not keep the record that stands in the log. */
    static ConfigAnswer versionOnly(ConfigView config) {
        return request ->
                ConfigReply.newBuilder().setVersion(config.state().version()).build();
    }
}
