package org.masticcroft.gateway.http;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Bounds the memory for the requests of callers, from their first byte until they are answered. If an arriving request
 * does not fit, the largest arriving ones are given up. Used on the event loop only.
 */
final class RequestMemory {
    /** Fraction of the budget up to which a request is small, as a divisor. */
    private static final int SMALL_DIVISOR = 64;

    /** Fraction of the budget for small requests only, as a divisor, so that large ones do not shut them out. */
    private static final int SMALL_ONLY_DIVISOR = 4;

    private final long limitBytes;

    /** Requests that are arriving, the one that grew the longest ago first. */
    private final Set<Reservation> arriving = new LinkedHashSet<>();

    private long usedBytes;
    private long givenUp;

    /** Creates a bound of the given number of bytes. */
    RequestMemory(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Returns the number of reserved bytes. */
    long usedBytes() {
        return usedBytes;
    }

    /** Returns how many requests were given up or refused so far because they did not fit. */
    long givenUp() {
        return givenUp;
    }

    /**
     * Creates an empty reservation for a request that begins to arrive.
     *
     * @param onGivenUp refuses the request; its memory is free by then
     */
    Reservation newReservation(Runnable onGivenUp) {
        return new Reservation(onGivenUp);
    }

    private long limitOf(long bytes) {
        return bytes <= limitBytes / SMALL_DIVISOR ? limitBytes : limitBytes - limitBytes / SMALL_ONLY_DIVISOR;
    }

    /** Returns the largest arriving request, by powers of two; of those the one that grew the longest ago. */
    private Reservation largestArriving() {
        return arriving.stream()
                .min(Comparator.comparingInt(reservation -> Long.numberOfLeadingZeros(reservation.bytes)))
                .orElseThrow();
    }

    /** The memory of one request. */
    final class Reservation {
        private final Runnable onGivenUp;
        private long bytes;
        private boolean released;

        private Reservation(Runnable onGivenUp) {
            this.onGivenUp = onGivenUp;
        }

        /** Changes the size of an arriving request. May give up requests, also this one; returns whether it is kept. */
        boolean resize(long newBytes) {
            if (released) {
                return false;
            }
            set(newBytes);
            arriving.remove(this);
            arriving.add(this);
            while (!released && usedBytes > limitOf(bytes)) {
                Reservation largest = largestArriving();
                largest.release();
                givenUp++;
                largest.onGivenUp.run();
            }
            return !released;
        }

        /** Sets the final size. A request that has arrived is not given up any more. */
        void complete(long finalBytes) {
            if (!released) {
                set(finalBytes);
                arriving.remove(this);
            }
        }

        /** Releases the memory. */
        void release() {
            if (!released) {
                set(0);
                released = true;
                arriving.remove(this);
            }
        }

        private void set(long newBytes) {
            usedBytes += newBytes - bytes;
            bytes = newBytes;
        }
    }
}
