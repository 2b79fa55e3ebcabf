package org.masticcroft.gateway.node;

import java.util.ArrayList;
import java.util.List;

/**
 * Picks a bounded number of elements from a list at a time, continuing behind the last one picked, so that each element
 * gets its turn.
 *
 * @param <T> type of the elements
 */
final class TakeTurns<T> {
    private final int atOnce;
    private int next;

    private TakeTurns(int atOnce) {
        this.atOnce = atOnce;
    }

    /** Creates a picker that returns at most the given number of elements at a time. */
    static <T> TakeTurns<T> of(int atOnce) {
        if (atOnce < 1) {
            throw new IllegalArgumentException("number of elements at once is below 1: " + atOnce);
        }
        return new TakeTurns<>(atOnce);
    }

    /** Returns the next elements of the list, which may differ from the list before; all if they are few. */
    List<T> next(List<T> elements) {
        if (elements.size() <= atOnce) {
            return elements;
        }
        List<T> picked = new ArrayList<>(atOnce);
        for (int i = 0; i < atOnce; i++) {
            picked.add(elements.get((next + i) % elements.size()));
        }
        next = (next + atOnce) % elements.size();
        return picked;
    }
}
