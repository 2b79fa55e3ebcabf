package org.masticcroft.gateway.exchange;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.Random;
import java.util.Set;
import org.masticcroft.gateway.config.Route;
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

    DecisionLog log();

    /** Returns the version of the configuration in force, for the log. */
    long configVersion();

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

    /** Returns whether a service has an upstream that accepts requests and was not tried yet. */
    boolean hasUntriedUpstream(String service, Set<String> triedUpstreams);

    /** Is called when an upstream failed that may have run a request and had sent nothing of the response. */
    void onUpstreamFailed(Exchange exchange, String upstream);

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
