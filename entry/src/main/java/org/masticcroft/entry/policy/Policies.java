package org.masticcroft.entry.policy;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.masticcroft.kernel.admission.AdmissionPlugin;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.event.EventLog;
import org.masticcroft.kernel.plugin.Plugin;
import org.masticcroft.kernel.plugin.PluginRegistry;
import org.masticcroft.kernel.retry.RetryPolicy;
import org.masticcroft.kernel.routing.UpstreamChooser;

/**
 * Finds the policy plug-ins by name. If a plug-in is missing, another registered one of its type is used, or a built-in
 * fallback if there is none, so that a wrong name in the configuration does not stop the service.
 */
public final class Policies {
    private static final String RETRY_POLICY = "budgeted";

    private final Optional<PluginRegistry<AdmissionPlugin>> admissions;
    private final Optional<PluginRegistry<UpstreamChooser>> choosers;
    private final Optional<PluginRegistry<RetryPolicy>> retries;
    private final Map<String, Plugin> substitutes = new ConcurrentHashMap<>();

    private Policies(
            Optional<PluginRegistry<AdmissionPlugin>> admissions,
            Optional<PluginRegistry<UpstreamChooser>> choosers,
            Optional<PluginRegistry<RetryPolicy>> retries) {
        this.admissions = admissions;
        this.choosers = choosers;
        this.retries = retries;
    }

    /** Loads the plug-ins that are registered on the class path. */
    public static Policies load() {
        return new Policies(
                Optional.of(PluginRegistry.of(AdmissionPlugin.class)),
                Optional.of(PluginRegistry.of(UpstreamChooser.class)),
                Optional.of(PluginRegistry.of(RetryPolicy.class)));
    }

    /** Returns policies that use the built-in fallbacks only and ignore the plug-ins on the class path. */
    public static Policies fallbacksOnly() {
        return new Policies(Optional.empty(), Optional.empty(), Optional.empty());
    }

    /** Returns the named admission plug-in or its substitute. */
    public AdmissionPlugin admission(String name) {
        return find(admissions, name, new FirstInFirstOutAdmission());
    }

    /** Returns the named upstream chooser or its substitute. */
    public UpstreamChooser chooser(String name) {
        return find(choosers, name, new LeastLoadedChooser());
    }

    /** Returns the retry policy. */
    public RetryPolicy retry() {
        return find(retries, RETRY_POLICY, new ImmediateRetryPolicy());
    }

    private <P extends Plugin> P find(Optional<PluginRegistry<P>> registry, String name, P fallback) {
        Objects.requireNonNull(name, "name");
        return registry.flatMap(plugins -> plugins.find(name)).orElseGet(() -> {
            P substitute = registry.flatMap(
                            plugins -> plugins.names().stream().findFirst().map(plugins::require))
                    .orElse(fallback);
            if (substitutes.put(name, substitute) == null) {
                EventLog.warn(Event.PLUGIN_SUBSTITUTED, "configured", name, "used", substitute.name());
            }
            return substitute;
        });
    }
}
