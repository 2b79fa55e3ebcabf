package org.masticcroft.gateway.account;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import org.masticcroft.gateway.fleet.FleetStore;
import org.masticcroft.kernel.time.TimeSource;

/**
 * Appends the batches of this process to the store in the order of their chain. After the store has come back from an
 * older copy, the batches that it acknowledged lately are appended again under the same keys, before any further one:
 * the newest record of each key counts, so the chain is then complete and in order. Used on the event loop only.
 */
final class AccountAppender {
    /** Time after a failed repetition until the next one. */
    private static final Duration REPEAT_DELAY = Duration.ofSeconds(1);

    private final FleetStore store;
    private final EventLoop loop;
    private final IntConsumer repetitionListener;
    private final AppendedBatches appended;
    private final Deque<AppendedBatches.Batch> toRepeat = new ArrayDeque<>();
    private final Deque<WaitingAppend> waiting = new ArrayDeque<>();
    private boolean repeating;
    private int repeated;

    private AccountAppender(FleetStore store, EventLoop loop, TimeSource time, IntConsumer repetitionListener) {
        this.store = store;
        this.loop = loop;
        this.repetitionListener = repetitionListener;
        this.appended = new AppendedBatches(time);
    }

    /**
     * Creates an appender.
     *
     * @param repetitionListener receives the number of batches once all have been appended again after a restore
     */
    static AccountAppender of(FleetStore store, EventLoop loop, TimeSource time, IntConsumer repetitionListener) {
        AccountAppender appender = new AccountAppender(store, loop, time, repetitionListener);
        store.era().addListener((previous, era) -> appender.repeatAll());
        return appender;
    }

    /** Appends a batch; it waits for those that have to be appended again, and fails if one of them does. */
    void append(String key, byte[] data, Consumer<Boolean> reply) {
        if (toRepeat.isEmpty()) {
            send(key, data, reply);
            return;
        }
        waiting.addLast(new WaitingAppend(key, data, reply));
    }

    private void send(String key, byte[] data, Consumer<Boolean> reply) {
        int restores = store.era().restores();
        store.appendAccountRecord(key, data, stored -> {
            if (stored) {
                appended.add(key, data);
            }
            if (stored && store.era().restores() > restores) {
                // Acknowledged before the restore or behind batches that the copy lacks.
                toRepeat.addLast(new AppendedBatches.Batch(key, data, 0));
                repeatNext();
            }
            reply.accept(stored);
        });
    }

    private void repeatAll() {
        toRepeat.clear();
        toRepeat.addAll(appended.all());
        repeated = 0;
        repeatNext();
    }

    private void repeatNext() {
        if (repeating) {
            return;
        }
        AppendedBatches.Batch next = toRepeat.peekFirst();
        if (next == null) {
            return;
        }
        repeating = true;
        int restores = store.era().restores();
        try {
            store.appendAccountRecord(next.key(), next.data(), stored -> {
                repeating = false;
                if (!stored) {
                    repeatLater();
                } else if (store.era().restores() > restores) {
                    repeatNext();
                } else {
                    finishRepetition(next);
                }
            });
        } catch (RuntimeException e) {
            // The call could not be made; without a further one, the account would end here.
            repeating = false;
            repeatLater();
        }
    }

    private void repeatLater() {
        failWaiting();
        loop.schedule(this::repeatNext, REPEAT_DELAY.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void finishRepetition(AppendedBatches.Batch batch) {
        appended.add(batch.key(), batch.data());
        toRepeat.removeFirst();
        repeated++;
        if (!toRepeat.isEmpty()) {
            repeatNext();
            return;
        }
        repetitionListener.accept(repeated);
        while (!waiting.isEmpty()) {
            WaitingAppend append = waiting.removeFirst();
            send(append.key(), append.data(), append.reply());
        }
    }

    private void failWaiting() {
        while (!waiting.isEmpty()) {
            waiting.removeFirst().reply().accept(false);
        }
    }

    /** An append that waits until the batches before it have been appended again. */
    private record WaitingAppend(String key, byte[] data, Consumer<Boolean> reply) {}
}
