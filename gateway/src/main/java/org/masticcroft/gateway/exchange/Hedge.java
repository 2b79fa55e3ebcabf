package org.masticcroft.gateway.exchange;

import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.masticcroft.gateway.dispatch.QueuedRequest.Choice;
import org.masticcroft.gateway.hedge.HedgeKey;
import org.masticcroft.gateway.hedge.HedgePolicy;
import org.masticcroft.kernel.event.Event;

/**
 * The hedge of one exchange: a second attempt that is sent while the first one has no first byte. There is at most one,
 * and only for a request that may be repeated. Used on the event loop only.
 */
final class Hedge {
    /** Time after which a hedge is considered again that was due and found no suitable upstream. */
    private static final Duration RECHECK = Duration.ofMillis(50);

    private final Exchange exchange;
    private final ExchangeContext context;
    private final HedgePolicy policy;
    private final HedgeKey key;
    private Future<?> timer;
    private boolean open;
    private int firstNumber;
    private boolean used;

    Hedge(Exchange exchange, ExchangeContext context) {
        this.exchange = exchange;
        this.context = context;
        this.policy = context.hedging();
        this.key = new HedgeKey(exchange.route().name(), exchange.service());
    }

    /** Considers a hedge once an attempt that has been sent has no first byte after the delay of the policy. */
    void await(UpstreamAttempt attempt) {
        cancelTimer();
        if (!used && exchange.route().repeatable()) {
            policy.delay(key).ifPresent(delay -> schedule(attempt, delay));
        }
    }

    void cancelTimer() {
        if (timer != null) {
            timer.cancel(false);
        }
    }

    /** Returns whether the attempt that was hedged is open beside another one. */
    boolean isOpen() {
        return open;
    }

    /** Returns the number of the attempt that was hedged. */
    int firstNumber() {
        return firstNumber;
    }

    /** Records the time to the first byte of an attempt. */
    void recordTimeToFirstByte(Duration timeToFirstByte) {
        policy.recordTimeToFirstByte(key, timeToFirstByte);
    }

    /** Records that an attempt is about to be sent beside the first one. */
    void open(UpstreamAttempt hedged, int number, Choice choice) {
        open = true;
        firstNumber = number;
        used = true;
        context.onHedge(exchange, HedgeOutcome.SENT);
        context.log()
                .write(
                        Event.HEDGE_SENT,
                        "request",
                        exchange.id(),
                        "first",
                        hedged.upstream().id(),
                        "upstream",
                        choice.upstream().id(),
                        "after_ms",
                        hedged.age().toMillis(),
                        "predicted_ms",
                        Math.round(choice.predictedMillis()),
                        "load",
                        choice.load());
    }

    /** Reports that one of the two attempts has ended, so that only the other one is left; nothing if none is open. */
    void report(HedgeOutcome outcome, UpstreamAttempt remaining, UpstreamAttempt ended) {
        if (!open) {
            return;
        }
        context.onHedge(exchange, outcome);
        if (outcome == HedgeOutcome.WON) {
            // The first attempt would have taken longer still. Without its time, slow upstreams would shorten the
            // delay of the hedges that are sent because of them.
            recordTimeToFirstByte(ended.age());
        }
        context.log()
                .write(
                        Event.HEDGE_DECIDED,
                        "request",
                        exchange.id(),
                        "outcome",
                        outcome.label(),
                        "upstream",
                        remaining.upstream().id(),
                        "other",
                        ended.upstream().id());
    }

    /** Records that the attempt that was hedged is no longer open beside another one. */
    void close() {
        open = false;
    }

    private void schedule(UpstreamAttempt attempt, Duration delay) {
        timer = context.loop().schedule(() -> consider(attempt), delay.toNanos(), TimeUnit.NANOSECONDS);
    }

    private void consider(UpstreamAttempt attempt) {
        if (used || !exchange.awaitsFirstByteOf(attempt)) {
            return;
        }
        boolean sent = exchange.mayBeSentElsewhere()
                && !context.suspected(exchange.request())
                && context.dispatchHedge(exchange, choice -> worthwhile(attempt, choice) && tryAcquire());
        if (!sent && !used) {
            schedule(attempt, RECHECK);
        }
    }

    private boolean worthwhile(UpstreamAttempt attempt, Choice choice) {
        Duration predicted = Duration.ofMillis(Math.round(choice.predictedMillis()));
        Duration remaining = Duration.ofNanos(
                exchange.firstByteDeadlineNanos() - context.time().nanoTime());
        return policy.worthwhile(key, attempt.age(), predicted, remaining);
    }

    /** Takes a hedge from both budgets. A request that a budget refuses is not considered again. */
    private boolean tryAcquire() {
        boolean available = policy.available(exchange.service());
        if (available && context.tryRetry(exchange.service())) {
            return policy.tryAcquire(exchange.service());
        }
        used = true;
        context.onHedge(exchange, HedgeOutcome.REFUSED_BY_BUDGET);
        context.log()
                .write(
                        Event.HEDGE_REFUSED,
                        "request",
                        exchange.id(),
                        "service",
                        exchange.service(),
                        "budget",
                        available ? "retry" : "hedging");
        return false;
    }
}
