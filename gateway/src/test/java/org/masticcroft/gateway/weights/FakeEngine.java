package org.masticcroft.gateway.weights;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** An engine that keeps its calls until a test answers them. */
final class FakeEngine implements LocalEngine {
    final Map<Integer, byte[]> staged = new HashMap<>();
    final Deque<Call<OrderOutcome>> loads = new ArrayDeque<>();
    final Deque<Call<OrderOutcome>> keeps = new ArrayDeque<>();
    final Deque<Call<Boolean>> uploads = new ArrayDeque<>();
    final Deque<Call<StagedRead>> reads = new ArrayDeque<>();

    private final Runnable beforeAnswer;

    FakeEngine(Runnable beforeAnswer) {
        this.beforeAnswer = beforeAnswer;
    }

    @Override
    public void readReport(Consumer<Optional<EngineReport>> reply) {
        throw new UnsupportedOperationException("tests pass reports to the loader");
    }

    @Override
    public void stage(String model, int piece, byte[] data, Consumer<Boolean> reply) {
        uploads.add(new Call<>(piece, data, reply));
    }

    @Override
    public void readStaged(String model, int piece, Consumer<StagedRead> reply) {
        reads.add(new Call<>(piece, new byte[0], reply));
    }

    @Override
    public void load(String model, long version, long ordersBegun, Consumer<OrderOutcome> reply) {
        loads.add(new Call<>((int) version, new byte[0], reply));
    }

    @Override
    public void keepLayers(
            String model, long version, LayerRange layers, long ordersBegun, Consumer<OrderOutcome> reply) {
        keeps.add(new Call<>(layers.from(), new byte[0], reply));
    }

    @Override
    public Duration maxReadBackAge() {
        return Duration.ofMillis(1500);
    }

    /** Answers all uploads and read-backs, and those that follow from the answers. */
    void answerStaging() {
        while (!uploads.isEmpty() || !reads.isEmpty()) {
            answerUploads();
            answerReads();
        }
    }

    void answerUploads() {
        while (!uploads.isEmpty()) {
            Call<Boolean> upload = uploads.removeFirst();
            staged.put(upload.number(), upload.data());
            beforeAnswer.run();
            upload.reply().accept(true);
        }
    }

    void answerReads() {
        while (!reads.isEmpty()) {
            Call<StagedRead> read = reads.removeFirst();
            byte[] data = staged.get(read.number());
            beforeAnswer.run();
            read.reply().accept(data == null ? StagedRead.missing() : StagedRead.of(data));
        }
    }

    /** A call that is not answered yet; the number is that of the piece, the version or the first layer. */
    record Call<T>(int number, byte[] data, Consumer<T> reply) {}
}
