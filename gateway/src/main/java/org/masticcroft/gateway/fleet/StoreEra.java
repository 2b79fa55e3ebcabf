package org.masticcroft.gateway.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;

/**
 * The era of the store, which increases each time the store comes back from an older copy. All responses of the store
 * state it, and the client of the store passes it on here, so that each part of the process learns of a change from the
 * first response to any call. A store that states no era never changes it. Used on the event loop only.
 */
public final class StoreEra {
    private final List<Listener> listeners = new ArrayList<>();
    private OptionalLong current = OptionalLong.empty();
    private int restores;

    private StoreEra() {}

    /** Creates the era of a store that has not responded yet. */
    public static StoreEra unknown() {
        return new StoreEra();
    }

    /** Returns the era; empty before a response has stated it. */
    public OptionalLong current() {
        return current;
    }

    /** Returns how many times the store has come back from an older copy during the life of this process. */
    public int restores() {
        return restores;
    }

    /** Adds a listener, which is called before the response that states the new era is handled. */
    public void addListener(Listener listener) {
        listeners.add(Objects.requireNonNull(listener, "listener"));
    }

    /**
     * Records the era that a response states. Responses on two connections may arrive in another order than they were
     * written, so an earlier era than the current one counts only if the current one was known when the call was sent:
     * the store has then lost its count, which is a restore, too.
     *
     * @param whenSent the current era when the call was sent
     * @param stated era that the response states; empty if it states none
     * @return whether the response is of the current era or states none
     */
    public boolean record(OptionalLong whenSent, OptionalLong stated) {
        if (stated.isEmpty() || stated.equals(current)) {
            return true;
        }
        if (current.isEmpty()) {
            current = stated;
            return true;
        }
        long previous = current.getAsLong();
        if (stated.getAsLong() < previous && !whenSent.equals(current)) {
            return false;
        }
        current = stated;
        restores++;
        listeners.forEach(listener -> listener.changed(previous, stated.getAsLong()));
        return true;
    }

    /** Receives changes of the era. */
    @FunctionalInterface
    public interface Listener {
        /** Called when the store has come back from an older copy. */
        void changed(long previous, long current);
    }
}
