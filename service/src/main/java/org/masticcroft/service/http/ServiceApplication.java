package org.masticcroft.service.http;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.health.HealthCheck;
import io.dropwizard.core.Application;
import io.dropwizard.core.Configuration;
import io.dropwizard.core.setup.Bootstrap;
import io.dropwizard.core.setup.Environment;
import java.io.ByteArrayInputStream;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Objects;
import org.eclipse.jetty.server.Server;
import org.glassfish.jersey.server.ResourceConfig;
import org.glassfish.jersey.servlet.ServletContainer;
import org.masticcroft.kernel.lifecycle.Role;

/** Dropwizard application that serves the resources of a role, its metrics and its health checks. */
public final class ServiceApplication extends Application<Configuration> {
    private final HttpSettings settings;
    private final MetricRegistry metrics;
    private final Role role;
    private final Collection<?> resources;
    private final Collection<?> adminResources;
    private Server server;

    private ServiceApplication(
            HttpSettings settings,
            MetricRegistry metrics,
            Role role,
            Collection<?> resources,
            Collection<?> adminResources) {
        this.settings = settings;
        this.metrics = metrics;
        this.role = role;
        this.resources = resources;
        this.adminResources = adminResources;
    }

    /**
     * Creates an application. {@link #start} starts it.
     *
     * @param resources JAX-RS resources on the port for callers
     * @param adminResources JAX-RS resources on the admin port
     */
    public static ServiceApplication of(
            HttpSettings settings,
            MetricRegistry metrics,
            Role role,
            Collection<?> resources,
            Collection<?> adminResources) {
        return new ServiceApplication(
                Objects.requireNonNull(settings, "settings"),
                Objects.requireNonNull(metrics, "metrics"),
                Objects.requireNonNull(role, "role"),
                resources,
                adminResources);
    }

    /** Starts the HTTP server and returns. */
    public void start() throws Exception {
        run("server", "settings");
    }

    /**
     * Stops the HTTP server gracefully: it stops accepting connections, waits for the responses in progress and then
     * closes the connections.
     */
    public void stop() throws Exception {
        server.stop();
    }

    @Override
    public String getName() {
        return "masticcroftd";
    }

    @Override
    public void initialize(Bootstrap<Configuration> bootstrap) {
        byte[] document = settings.toYaml().getBytes(StandardCharsets.UTF_8);
        bootstrap.setConfigurationSourceProvider(path -> new ByteArrayInputStream(document));
        bootstrap.setMetricRegistry(metrics);
    }

    @Override
    public void run(Configuration configuration, Environment environment) {
        resources.forEach(environment.jersey()::register);
        environment.jersey().register(ConnectionCloser.of(role));
        if (!adminResources.isEmpty()) {
            ResourceConfig admin = new ResourceConfig();
            adminResources.forEach(admin::register);
            environment
                    .admin()
                    .addServlet("admin-resources", new ServletContainer(admin))
                    .addMapping("/api/*");
        }
        environment.healthChecks().register("ready", new Readiness());
        environment.lifecycle().addServerLifecycleListener(started -> {
            // Without Jetty's shutdown hook: the process stops the server itself, after the role has finished its work
            // in
            // progress.
            started.setStopAtShutdown(false);
            server = started;
        });
    }

    private final class Readiness extends HealthCheck {
        @Override
        protected Result check() {
            return role.ready() ? Result.healthy() : Result.unhealthy("not ready for work");
        }
    }
}
