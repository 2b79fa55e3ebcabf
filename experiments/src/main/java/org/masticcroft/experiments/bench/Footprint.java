package org.masticcroft.experiments.bench;

import java.lang.ref.Reference;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;
import org.masticcroft.kernel.admission.AdmissionQueue;
import org.masticcroft.kernel.admission.Ticket;
import org.masticcroft.kernel.breaker.ConsecutiveFailureBreaker;
import org.masticcroft.kernel.routing.UpstreamLoad;

/** Estimates heap bytes per upstream, customer and queued request from the heap growth of many objects. */
public final class Footprint {
    private static final int COUNT = 200_000;
    private static final int COLLECTIONS = 3;

    private Footprint() {}

    /** Returns the bytes per upstream: its load and its circuit breaker. */
    public static double perUpstream() {
        return bytesPer(count -> {
            List<Object> retained = new ArrayList<>();
            for (int number = 0; number < count; number++) {
                retained.add(new UpstreamLoad("engine-" + number, 16, 1, 1, 0, true));
                retained.add(ConsecutiveFailureBreaker.of());
            }
            return retained;
        });
    }

    /** Returns the bytes per queued request of a few customers. */
    public static double perRequest() {
        return bytesPer(count -> queueOf(count, 10));
    }

    /** Returns the bytes per customer with one queued request, including that request. */
    public static double perCustomerWithRequest() {
        return bytesPer(count -> queueOf(count, count));
    }

    private static AdmissionQueue queueOf(int requests, int customers) {
        AdmissionQueue queue = AdmissionBenchmark.queueOf(requests);
        for (int number = 0; number < requests; number++) {
            queue.requeue(new Ticket("r" + number, "customer-" + number % customers, 1, "rank-0", 300, number), 0);
        }
        return queue;
    }

    private static double bytesPer(IntFunction<Object> create) {
        long before = usedBytes();
        Object retained = create.apply(COUNT);
        long after = usedBytes();
        Reference.reachabilityFence(retained);
        return (double) (after - before) / COUNT;
    }

    private static long usedBytes() {
        for (int collection = 0; collection < COLLECTIONS; collection++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
