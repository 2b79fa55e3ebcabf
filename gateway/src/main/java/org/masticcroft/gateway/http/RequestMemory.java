package org.masticcroft.gateway.http;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * Bounds the memory for the requests of callers, from their first byte until they are answered. A body claims its
 * memory before it is read and waits, unread, while the claim does not fit. What is in memory already without a claim,
 * such as a head, displaces the largest arriving requests instead. Used on the event loop only.
 */
final class RequestMemory {
    /** Fraction of the budget up to which a request is small, as a divisor. */
    private static final int SMALL_DIVISOR = 64;

    /** Fraction of the budget for small requests only, as a divisor, so that large ones do not shut them out. */
    private static final int SMALL_ONLY_DIVISOR = 4;

    /** Fraction of the budget that no claim may use, as a divisor; heads and the first bytes of bodies need it. */
    private static final int UNCLAIMED_DIVISOR = 8;

    /** Time by which a body may lag behind its pace while others wait; longer than a retransmission takes. */
    private static final Duration MAX_LAG = Duration.ofSeconds(1);

    /** Largest first, compared by powers of two. */
    private static final Comparator<Reservation> LARGEST_FIRST =
            Comparator.comparingInt(reservation -> Long.numberOfLeadingZeros(reservation.bytes));

    private final long limitBytes;

    /** Requests that are arriving, the one that grew the longest ago first. */
    private final Set<Reservation> arriving = new LinkedHashSet<>();

    /** Requests whose claim does not fit yet, the newest last. */
    private final Set<Reservation> waiting = new LinkedHashSet<>();

    private long usedBytes;

    /** The part of the used bytes that was claimed; what is in use without a claim does not hold up claims. */
    private long claimedBytes;

    private long givenUp;
    private boolean admitting;

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

    /** Returns the number of requests whose bodies wait for memory. */
    int waiting() {
        return waiting.size();
    }

    /**
     * Creates an empty reservation for a request that begins to arrive.
     *
     * @param owner the request
     */
    Reservation newReservation(Owner owner) {
        return new Reservation(owner);
    }

    /**
     * Makes room for waiting requests: gives up those that have waited too long, and bodies that arrive too slowly.
     *
     * @param nowNanos monotonic time
     */
    void relieve(long nowNanos) {
        for (Reservation reservation : List.copyOf(waiting)) {
            if (nowNanos - reservation.waitEndNanos > 0) {
                reservation.giveUp();
            }
        }
        List<Reservation> largestFirst = new ArrayList<>(arriving);
        largestFirst.sort(LARGEST_FIRST);
        for (Reservation reservation : largestFirst) {
            if (waiting.isEmpty()) {
                return;
            }
            if (reservation.lags(nowNanos)) {
                // The event loop may be late, and the caller not.
                reservation.owner.readReceived();
                if (reservation.lags(nowNanos)) {
                    reservation.giveUp();
                }
            }
        }
    }

    private long limitOf(long bytes) {
        return bytes <= limitBytes / SMALL_DIVISOR ? limitBytes : limitBytes - limitBytes / SMALL_ONLY_DIVISOR;
    }

    private boolean fits(Reservation reservation, long claimBytes, long claimedLimit) {
        long claimed = claimedBytes - reservation.claimedBytes + claimBytes;
        long used = usedBytes - reservation.bytes + Math.max(reservation.bytes, claimBytes);
        return claimed <= claimedLimit && used <= limitBytes;
    }

    private long claimLimit(long claimBytes) {
        return Math.min(limitOf(claimBytes), limitBytes - limitBytes / UNCLAIMED_DIVISOR);
    }

    /**
     * Admits waiting requests, small ones first, and of similar ones the newest: its caller is the likeliest to be
     * still there.
     */
    private void admitWaiting() {
        if (admitting) {
            return;
        }
        admitting = true;
        try {
            while (!waiting.isEmpty()) {
                Reservation next = null;
                for (Reservation candidate : waiting) {
                    if (next == null
                            || Long.numberOfLeadingZeros(candidate.wantedBytes)
                                    >= Long.numberOfLeadingZeros(next.wantedBytes)) {
                        next = candidate;
                    }
                }
                if (!next.admit()) {
                    return;
                }
                waiting.remove(next);
                next.owner.admitted();
            }
        } finally {
            admitting = false;
        }
    }

    /** Returns the largest arriving request, by powers of two; of those the one that grew the longest ago. */
    private Reservation largestArriving() {
        return arriving.stream().min(LARGEST_FIRST).orElseThrow();
    }

    /** A request with a reservation. */
    interface Owner {
        /** Refuses the request; its memory is free by then. */
        void givenUp();

        /** Goes on reading a body that has waited. */
        default void admitted() {}

        /** Returns whether the body is read, so that its pace depends on the caller. */
        default boolean reading() {
            return true;
        }

        /** Reads what has been received but not read yet. */
        default void readReceived() {}
    }

    /** The memory of one request. */
    final class Reservation {
        private final Owner owner;
        private long bytes;
        private long claimedBytes;

        /** The newest claim: its size, and the largest size to which the request may still raise it. */
        private long wantedBytes;

        private long largestBytes;
        private long waitEndNanos;

        /** Time up to which the arrived part of the body keeps the pace. */
        private long paceNanos;

        /** Whether the head is complete, so that the pace of the body is measured. */
        private boolean paced;

        private boolean released;

        private Reservation(Owner owner) {
            this.owner = owner;
        }

        /** Changes the size of an arriving request. May give up requests, also this one; returns whether it is kept. */
        boolean resize(long newBytes) {
            if (released) {
                return false;
            }
            arriving.remove(this);
            arriving.add(this);
            if (newBytes > claimedBytes) {
                set(newBytes);
                while (!released && usedBytes > (claimedBytes > 0 ? limitBytes : limitOf(bytes))) {
                    largestArriving().giveUp();
                }
            }
            return !released;
        }

        /**
         * Claims memory for an arriving request. A claim that may grow later leaves room for one of the largest size,
         * so that requests that wait for each other's memory always leave enough for one of them to be completed.
         *
         * @param wanted needed bytes
         * @param largest bytes that the request may need at most
         * @param nowNanos monotonic time
         * @param waitEndNanos returns the monotonic time up to which the request may wait
         * @return whether the body may be read; otherwise {@link Owner#admitted()} is called once it may be
         */
        boolean claim(long wanted, long largest, long nowNanos, LongSupplier waitEndNanos) {
            if (released) {
                return false;
            }
            wantedBytes = wanted;
            largestBytes = largest;
            startPace(nowNanos);
            if (admit()) {
                return true;
            }
            if (largest > claimLimit(largest)) {
                // It would not fit into an empty process either.
                giveUp();
                return false;
            }
            this.waitEndNanos = waitEndNanos.getAsLong();
            waiting.add(this);
            return false;
        }

        /** Returns whether the request waits for its claim. */
        boolean waiting() {
            return waiting.contains(this);
        }

        /** Returns the memory that the request may use. */
        long claimedBytes() {
            return claimedBytes;
        }

        /** Measures the pace of the body from now on. */
        void startPace(long nowNanos) {
            paceNanos = nowNanos;
            paced = true;
        }

        /**
         * Notes the arrival of a part of the body.
         *
         * @param partBytes size of the part
         * @param nowNanos monotonic time
         * @param bodyTime time in which the whole body arrives at the least pace
         */
        void arrived(int partBytes, long nowNanos, Duration bodyTime) {
            double share = (double) partBytes / Math.max(1, bytes);
            paceNanos = Math.min(nowNanos, paceNanos + (long) (share * bodyTime.toNanos()));
        }

        /** Sets the final size. A request that has arrived is not given up any more. */
        void complete(long finalBytes) {
            if (!released) {
                setClaim(claimedBytes == 0 ? 0 : finalBytes);
                set(finalBytes);
                arriving.remove(this);
                admitWaiting();
            }
        }

        /** Releases the memory. */
        void release() {
            if (!released) {
                free();
                admitWaiting();
            }
        }

        /** Grants the wanted claim, or at once the largest one, for which others have left room; false if none fits. */
        private boolean admit() {
            boolean last = wantedBytes >= largestBytes;
            long limit = claimLimit(largestBytes);
            if (fits(this, wantedBytes, last ? limit : limit - largestBytes)) {
                setClaim(wantedBytes);
            } else if (!last && fits(this, largestBytes, limit)) {
                setClaim(largestBytes);
            } else {
                return false;
            }
            set(Math.max(bytes, claimedBytes));
            return true;
        }

        private boolean lags(long nowNanos) {
            return paced
                    && !released
                    && arriving.contains(this)
                    && !waiting.contains(this)
                    && owner.reading()
                    && nowNanos - paceNanos > MAX_LAG.toNanos();
        }

        private void giveUp() {
            if (!released) {
                givenUp++;
                free();
                owner.givenUp();
                admitWaiting();
            }
        }

        private void free() {
            setClaim(0);
            set(0);
            released = true;
            arriving.remove(this);
            waiting.remove(this);
        }

        private void setClaim(long newBytes) {
            RequestMemory.this.claimedBytes += newBytes - claimedBytes;
            claimedBytes = newBytes;
        }

        private void set(long newBytes) {
            usedBytes += newBytes - bytes;
            bytes = newBytes;
        }
    }
}
