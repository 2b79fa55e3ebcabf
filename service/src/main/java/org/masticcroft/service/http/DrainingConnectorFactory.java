package org.masticcroft.service.http;

import com.fasterxml.jackson.annotation.JsonTypeName;
import io.dropwizard.jetty.HttpConnectorFactory;
import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.server.ConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.Scheduler;
import org.eclipse.jetty.util.thread.ThreadPool;

/** Dropwizard connector type {@value #TYPE}: HTTP/1.1 on a {@link DrainingConnector}. */
@JsonTypeName(DrainingConnectorFactory.TYPE)
public final class DrainingConnectorFactory extends HttpConnectorFactory {
    static final String TYPE = "draining-http";

    @Override
    protected ServerConnector buildConnector(
            Server server,
            Scheduler scheduler,
            ByteBufferPool bufferPool,
            String name,
            ThreadPool threadPool,
            ConnectionFactory... factories) {
        ServerConnector connector = DrainingConnector.of(server, threadPool, scheduler, bufferPool, factories);
        connector.setHost(getBindHost());
        connector.setPort(getPort());
        connector.setInheritChannel(isInheritChannel());
        if (getAcceptQueueSize() != null) {
            connector.setAcceptQueueSize(getAcceptQueueSize());
        }
        connector.setIdleTimeout(getIdleTimeout().toMilliseconds());
        connector.setName(name);
        return connector;
    }
}
