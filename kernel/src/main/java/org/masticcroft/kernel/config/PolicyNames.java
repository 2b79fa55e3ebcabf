package org.masticcroft.kernel.config;

import java.util.Collections;
import java.util.SortedSet;
import java.util.TreeSet;
import org.masticcroft.kernel.admission.AdmissionPlugin;
import org.masticcroft.kernel.plugin.PluginRegistry;
import org.masticcroft.kernel.rollout.FetchPlanner;
import org.masticcroft.kernel.routing.UpstreamChooser;

/**
 * The plug-in names that the section {@code policies} accepts. An empty set accepts every name.
 *
 * @param admission names of admission queues
 * @param chooser names of upstream choosers
 * @param rollout names of fetch planners
 */
public record PolicyNames(SortedSet<String> admission, SortedSet<String> chooser, SortedSet<String> rollout) {
    public PolicyNames {
        admission = Collections.unmodifiableSortedSet(new TreeSet<>(admission));
        chooser = Collections.unmodifiableSortedSet(new TreeSet<>(chooser));
        rollout = Collections.unmodifiableSortedSet(new TreeSet<>(rollout));
    }

    /** Returns the names of the plug-ins on the class path. */
    public static PolicyNames registered() {
        return new PolicyNames(
                PluginRegistry.of(AdmissionPlugin.class).names(),
                PluginRegistry.of(UpstreamChooser.class).names(),
                PluginRegistry.of(FetchPlanner.class).names());
    }
}
