package org.masticcroft.gateway.weights;

import java.util.Collection;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Decides when an engine that serves an older version stops serving to load a complete newer one. An engine finishes
 * its running responses before it loads, which takes seconds. Each region therefore loads in two halves: one half
 * serves while the other loads, unless the version that it has is no longer used.
 */
final class LoadTurn {
    /** Share of the other half that has to serve before this half stops; a failed engine must not delay the rest. */
    private static final double MIN_SERVING_SHARE = 0.7;

    private LoadTurn() {}

    /**
     * Returns whether the engine may load now.
     *
     * @param own the half of this engine
     * @param served version that this engine serves, 0 for none
     * @param target version to load
     * @param oldestAllowed oldest version to which entries still send requests, 0 for any
     * @param others versions served by the live engines of the other half, 0 for one that serves none
     */
    static boolean mayLoad(Half own, long served, long target, long oldestAllowed, Collection<Long> others) {
        if (served == 0 || served < oldestAllowed || others.isEmpty()) {
            return true;
        }
        long needed = own == Half.FIRST ? Math.max(1, oldestAllowed) : target;
        long serving = others.stream().filter(version -> version >= needed).count();
        return serving >= MIN_SERVING_SHARE * others.size();
    }

    /** The half of a region that an engine belongs to. */
    enum Half {
        FIRST,
        SECOND
    }

    /**
     * The two halves of a region as one of its engines sees them.
     *
     * @param own half of this engine
     * @param others IP addresses of the engines of the other half
     */
    record Halves(Half own, List<String> others) {
        /** Splits the members of a region, which include this engine; they alternate in the order of addresses. */
        static Halves of(String ownIp, List<String> members) {
            List<String> sorted = members.stream().sorted().toList();
            int ownParity = sorted.indexOf(ownIp) % 2;
            List<String> others = IntStream.range(0, sorted.size())
                    .filter(index -> index % 2 != ownParity)
                    .mapToObj(sorted::get)
                    .toList();
            return new Halves(ownParity == 0 ? Half.FIRST : Half.SECOND, others);
        }
    }
}
