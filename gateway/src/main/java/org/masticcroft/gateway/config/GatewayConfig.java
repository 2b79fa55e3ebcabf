package org.masticcroft.gateway.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.masticcroft.gateway.http.Address;

/** One version of the operator's configuration, indexed for the lookups that each request needs. */
public final class GatewayConfig {
    private final long version;
    private final Map<String, List<Route>> routesByHost = new HashMap<>();
    private final Map<String, UpstreamService> services = new HashMap<>();
    private final Map<String, Customer> customersByKey = new HashMap<>();
    private final CallerLimits limits;
    private final boolean requiresKeys;

    private GatewayConfig(long version, CallerLimits limits, boolean requiresKeys) {
        this.version = version;
        this.limits = limits;
        this.requiresKeys = requiresKeys;
    }

    /**
     * Creates a configuration.
     *
     * @param version version number
     * @param routes routes of all hosts
     * @param services services that the routes lead to
     * @param customers the customers; empty if the configuration knows none, so that requests need no API key. If the
     *     customers have no keys, no request that needs one is accepted.
     * @param limits what callers may send
     */
    public static GatewayConfig of(
            long version,
            List<Route> routes,
            List<UpstreamService> services,
            Optional<List<Customer>> customers,
            CallerLimits limits) {
        GatewayConfig config =
                new GatewayConfig(version, Objects.requireNonNull(limits, "limits"), customers.isPresent());
        for (Route route : routes) {
            config.routesByHost
                    .computeIfAbsent(route.host(), host -> new ArrayList<>())
                    .add(route);
        }
        Comparator<Route> longestFirst = Comparator.comparingInt(
                        (Route route) -> route.pathPrefix().length())
                .reversed();
        config.routesByHost.values().forEach(list -> list.sort(longestFirst));
        services.forEach(service -> config.services.put(service.name(), service));
        customers
                .orElse(List.of())
                .forEach(customer -> customer.keys().forEach(key -> config.customersByKey.put(key, customer)));
        return config;
    }

    /** Returns the version number; later versions have higher numbers. */
    public long version() {
        return version;
    }

    public CallerLimits limits() {
        return limits;
    }

    /** Returns whether requests need an API key on routes that are not anonymous. */
    public boolean requiresKeys() {
        return requiresKeys;
    }

    /** Returns the route of a host with the longest matching path prefix, if any. */
    public Optional<Route> route(String host, String path) {
        for (Route route : routesByHost.getOrDefault(host, List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /** Returns the customer that an API key belongs to, if any. */
    public Optional<Customer> customer(String key) {
        return Optional.ofNullable(customersByKey.get(key));
    }

    /**
     * Returns the regions in which a request may be served, which its route and its customer must both allow.
     *
     * @param host host name of the request
     * @param path path of the request
     * @param key API key of the request; empty if it has none
     */
    public AllowedRegions allowedRegions(String host, String path, Optional<String> key) {
        AllowedRegions ofRoute = route(host, path).map(Route::allowedRegions).orElse(AllowedRegions.all());
        return key.flatMap(this::customer)
                .map(customer -> ofRoute.intersection(customer.allowedRegions()))
                .orElse(ofRoute);
    }

    /** Returns the customer with a name, if it has an API key. */
    public Optional<Customer> customerNamed(String name) {
        return customersByKey.values().stream()
                .filter(customer -> customer.name().equals(name))
                .findFirst();
    }

    /** Returns the service with a name, if it is configured. */
    public Optional<UpstreamService> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /** Returns the names of the models that the configured engines serve. */
    public List<String> models() {
        return services.values().stream()
                .flatMap(service -> service.profile().stream())
                .map(EngineProfile::model)
                .toList();
    }

    /** Returns the address of the origin of weights, if one is configured. */
    public Optional<Address> origin() {
        return services.values().stream()
                .flatMap(service -> service.origin().stream())
                .findFirst();
    }

    /** Returns the number of connections that the origin of weights accepts; 0 if unknown. */
    public int originConnections() {
        return services.values().stream()
                .filter(service -> service.origin().isPresent())
                .mapToInt(UpstreamService::maxConnections)
                .findFirst()
                .orElse(0);
    }

    /** Returns the data centre of the origin of weights; empty if none is configured. */
    public String originZone() {
        return services.values().stream()
                .filter(service -> service.origin().isPresent())
                .map(UpstreamService::originZone)
                .findFirst()
                .orElse("");
    }
}
