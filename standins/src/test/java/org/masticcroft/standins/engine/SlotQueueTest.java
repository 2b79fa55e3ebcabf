package org.masticcroft.standins.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class SlotQueueTest {
    private final LinkedBlockingQueue<Integer> waitingCounts = new LinkedBlockingQueue<>();
    private final LinkedBlockingQueue<Integer> admitted = new LinkedBlockingQueue<>();
    private final SlotQueue queue = SlotQueue.of(1, 2, (running, waiting) -> waitingCounts.add(waiting));

    /** Guards against urgent requests that wait behind earlier requests of lower priority in the engine. */
    @Test
    void admitsByPriorityAndRefusesWhenTheQueueIsFull() throws Exception {
        queue.acquire(5, CancelSignal.create());
        CompletableFuture<SlotQueue.Result> low = start(9, CancelSignal.create(), 1);
        CompletableFuture<SlotQueue.Result> high = start(0, CancelSignal.create(), 2);
        assertThat(queue.acquire(0, CancelSignal.create())).isEqualTo(SlotQueue.Result.OVERLOADED);
        queue.release();
        assertThat(admitted.poll(10, TimeUnit.SECONDS)).isZero();
        queue.release();
        assertThat(admitted.poll(10, TimeUnit.SECONDS)).isEqualTo(9);
        assertThat(List.of(low.get(), high.get())).containsOnly(SlotQueue.Result.ADMITTED);
    }

    /** Guards against a cancelled request that stays in the queue and is admitted later. */
    @Test
    void cancelledRequestLeavesTheQueue() throws Exception {
        queue.acquire(5, CancelSignal.create());
        CancelSignal signal = CancelSignal.create();
        CompletableFuture<SlotQueue.Result> waiting = start(5, signal, 1);
        signal.cancel();
        assertThat(waiting.get(10, TimeUnit.SECONDS)).isEqualTo(SlotQueue.Result.CANCELLED);
        queue.release();
        assertThat(queue.running()).isZero();
    }

    private CompletableFuture<SlotQueue.Result> start(int priority, CancelSignal signal, int expectedWaiting)
            throws InterruptedException {
        CompletableFuture<SlotQueue.Result> result = CompletableFuture.supplyAsync(() -> {
            try {
                SlotQueue.Result acquired = queue.acquire(priority, signal);
                admitted.add(priority);
                return acquired;
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
        Integer waitingCount = waitingCounts.poll(10, TimeUnit.SECONDS);
        while (waitingCount != null && waitingCount != expectedWaiting) {
            waitingCount = waitingCounts.poll(10, TimeUnit.SECONDS);
        }
        assertThat(waitingCount).as("requests in the queue").isEqualTo(expectedWaiting);
        return result;
    }
}
