package org.masticcroft.gateway.exchange;

import org.masticcroft.gateway.config.AllowedRegions;
import org.masticcroft.gateway.http.CallerRequest;

/**
 * The regions in which a request may be served: those that both the configuration at its arrival and the one in force
 * allow. A stream may outlast its configuration, and a resend must not leave the regions that a newer one allows.
 */
final class RegionLimit {
    private final ExchangeContext context;
    private final CallerRequest request;
    private final AllowedRegions atArrival;
    private long configVersion;
    private AllowedRegions current;

    private RegionLimit(ExchangeContext context, CallerRequest request) {
        this.context = context;
        this.request = request;
        this.configVersion = context.configVersion();
        this.atArrival = context.allowedRegions(request);
        this.current = atArrival;
    }

    /** Creates the limit of a request that has just arrived. */
    static RegionLimit ofArrival(ExchangeContext context, CallerRequest request) {
        return new RegionLimit(context, request);
    }

    AllowedRegions current() {
        if (configVersion != context.configVersion()) {
            configVersion = context.configVersion();
            current = atArrival.intersection(context.allowedRegions(request));
        }
        return current;
    }
}
