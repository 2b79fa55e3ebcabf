package org.masticcroft.gateway.fleet;

import java.util.Objects;
import org.masticcroft.gateway.config.GatewayConfig;

/** A record that the operator or an upstream has published. */
public sealed interface FleetChange {
    /** A version of the configuration was published. */
    record ConfigPublished(GatewayConfig config) implements FleetChange {
        public ConfigPublished {
            Objects.requireNonNull(config, "config");
        }
    }

    /** The operator named a version of the weights of a model. */
    record WeightsNamed(String model, long version) implements FleetChange {
        public WeightsNamed {
            Objects.requireNonNull(model, "model");
        }
    }

    /** The operator requested that nothing more be sent to the upstreams of a data centre. */
    record EvacuationRequested(String dataCentre) implements FleetChange {
        public EvacuationRequested {
            Objects.requireNonNull(dataCentre, "dataCentre");
        }
    }

    /** The operator revoked the evacuation of a data centre. */
    record EvacuationRevoked(String dataCentre) implements FleetChange {
        public EvacuationRevoked {
            Objects.requireNonNull(dataCentre, "dataCentre");
        }
    }

    /** An upstream was added to the list, or its listing changed. */
    record UpstreamListed(UpstreamListing listing) implements FleetChange {
        public UpstreamListed {
            Objects.requireNonNull(listing, "listing");
        }
    }

    /** An upstream was removed from the list. */
    record UpstreamRemoved(String id) implements FleetChange {
        public UpstreamRemoved {
            Objects.requireNonNull(id, "id");
        }
    }

    /** A record that could not be decoded; the reason is logged. */
    record Unreadable(String key, String reason) implements FleetChange {
        public Unreadable {
            Objects.requireNonNull(key, "key");
            Objects.requireNonNull(reason, "reason");
        }
    }
}
