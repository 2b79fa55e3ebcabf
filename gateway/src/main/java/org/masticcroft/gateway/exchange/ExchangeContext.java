package org.masticcroft.gateway.exchange;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.function.Predicate;
import org.masticcroft.gateway.config.AllowedRegions;
import org.masticcroft.gateway.config.Route;
import org.masticcroft.gateway.dispatch.QueuedRequest;
import org.masticcroft.gateway.dispatch.Upstream;
import org.masticcroft.gateway.hedge.HedgePolicy;
import org.masticcroft.gateway.http.CallFailure;
import org.masticcroft.gateway.http.CallerRequest;
import org.masticcroft.gateway.http.Dialect;
import org.masticcroft.gateway.http.PooledHttpClient;
import org.masticcroft.gateway.log.DecisionLog;
import org.masticcroft.kernel.time.TimeSource;

/** The services of the process that an exchange uses, and the callbacks through which it reports its progress. */
public interface ExchangeContext {
    TimeSource time();

    EventLoop loop();

    Random random();

    Dialect dialect();

    PooledHttpClient httpClient();

    /** Returns the memory for responses that are buffered. */
    ResponseMemory responseMemory();

    DecisionLog log();

    /** Returns the version of the configuration in force, for the log. */
    long configVersion();

    /**
     * Returns the oldest version of the weights with which a request that has not begun may go on waiting at an
     * upstream; empty if any version may.
     */
    OptionalLong oldestVersionToAwait(Upstream upstream);

    /** Returns for how long the version that an upstream serves has been outdated; empty if it is not. */
    Optional<Duration> outdatedFor(Upstream upstream);

    /** Estimates how long a caller was waiting before its request arrived, because it had been refused earlier. */
    Duration priorWait(Route route, CallerRequest request);

    /** Returns the time after which a refused caller should retry. */
    Duration retryAfter();

    /** Is called once when an exchange starts. */
    void onStarted(Exchange exchange, String service);

    /** Dispatches a request to an upstream of a service, queues it, or refuses it. */
    void enqueue(Exchange exchange, String service);

    /** Removes a request from the queue of a service. */
    void dequeue(Exchange exchange, String service);

    /** Returns whether the retry budget of a service permits a retry. */
    boolean retryAvailable(String service);

    /** Takes a retry from the retry budget of a service; returns false if the budget is spent. */
    boolean tryRetry(String service);

    /** Returns the policy by which requests are hedged. */
    HedgePolicy hedging();

    /**
     * Dispatches the hedge of a request at once if no other request waits for its service.
     *
     * @param worthwhile whether the upstream that was chosen is worth a hedge
     * @return whether the hedge was dispatched
     */
    boolean dispatchHedge(Exchange exchange, Predicate<QueuedRequest.Choice> worthwhile);

    /** Is called when a hedge was sent, was refused by a budget, or has won or lost. */
    void onHedge(Exchange exchange, HedgeOutcome outcome);

    /**
     * Returns whether a request may crash its upstream: one crashed on it or on a part of its prompt, or a part was
     * never answered.
     */
    boolean suspected(CallerRequest request);

    /** Returns whether the service has an upstream that accepts the request and was not tried yet. */
    boolean hasUntriedUpstream(Exchange exchange);

    /** Returns the regions in which the configuration in force allows a request to be served. */
    AllowedRegions allowedRegions(CallerRequest request);

    /** Is called when a new connection to an upstream is established, with the time since the upstream was chosen. */
    void onConnected(Upstream upstream, Duration handshake);

    /** Returns why a request must not be sent any more to the upstream that was chosen for it; empty if it may be. */
    Optional<String> sendObjection(Exchange exchange, Upstream upstream);

    /** Is called when an upstream failed that may have run a request and had sent nothing of the response. */
    void onUpstreamFailed(Exchange exchange, Upstream upstream, CallFailure failure);

    /** Decides whether a request may be sent to an upstream now; not if a part of its prompt crashes upstreams. */
    boolean admit(CallerRequest request);

    /** Returns whether a part of the prompt of a request is known to crash upstreams. */
    boolean quarantined(CallerRequest request);

    /** Returns whether a request that was unanswered at an upstream that may have crashed can be sent to another. */
    boolean mayResend(CallerRequest request);

    /** Is called when an upstream has begun the response to a request, so that the request did not crash it. */
    void onResponseBegun(Exchange exchange);

    /** Is called once when a streamed response starts, with the time since the request was sent. */
    void onFirstByte(Exchange exchange, Duration timeToFirstByte);

    /** Is called once when an attempt at an upstream has ended; an empty reason stands for a complete response. */
    void onAttemptEnded(String upstream, String reason);

    /** Is called when an upstream of a service has capacity again. */
    void onCapacityFreed(String service);

    /** Is called once when a request is refused before an exchange was started for it. */
    void onRefused(CallerRequest request, int status, String reason);

    /** Is called once when an exchange has ended. */
    void onEnded(Exchange exchange, ExchangeOutcome end);
}
