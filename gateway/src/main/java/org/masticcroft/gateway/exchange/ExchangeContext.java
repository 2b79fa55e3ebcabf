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

/** What a request needs of the process that handles it. */
public interface ExchangeContext {
    TimeSource time();

    EventLoop loop();

    Random random();

    Dialect dialect();

    PooledHttpClient caller();

    DecisionLog log();

    /** Returns the version of the configuration in force, for logs. */
    long configVersion();

    /** Returns how long a caller has been waiting already when its request arrives, because it was refused before. */
    Duration waitedBefore(Route route, CallerRequest request);

    /** Returns when a caller that is refused should come back. */
    Duration retryAfter();

    /** Is called once when a request starts. */
    void started(Exchange exchange, String service);

    /** Lets a request wait for an upstream of a service. */
    void enqueue(Exchange exchange, String service);

    /** Removes a request that waits. */
    void dequeue(Exchange exchange, String service);

    /** Takes one further send of a request from the budget of a service; returns false if it is spent. */
    boolean takeRetry(String service);

    /** Returns whether a service has an upstream that takes requests and was not tried yet. */
    boolean hasOther(String service, Set<String> tried);

    /** Is called when an upstream broke off while it had a request and had sent nothing of the answer. */
    void brokeOff(Exchange exchange, String upstream);

    /** Is called once when the first byte of a streamed answer goes to the caller, with the time since the send. */
    void firstByte(Exchange exchange, Duration sinceSend);

    /** Is called once when a send to an upstream has ended; an empty reason stands for a complete answer. */
    void sendEnded(String upstream, String reason);

    /** Is called when an upstream has room again. */
    void roomAt(String service);

    /** Is called once when a request was refused before it became an exchange. */
    void refused(CallerRequest request, int status, String reason);

    /** Is called once when a request has ended. */
    void ended(Exchange exchange, ExchangeEnd end);
}
