package org.masticcroft.service;

import com.google.inject.AbstractModule;
import com.google.inject.Guice;
import com.google.inject.multibindings.OptionalBinder;
import java.net.InetSocketAddress;
import java.util.concurrent.Callable;
import org.apache.commons.rng.simple.RandomSource;
import org.masticcroft.entry.EntryModule;
import org.masticcroft.entry.EntryRole;
import org.masticcroft.entry.EntrySettings;
import org.masticcroft.entry.version.ConfigFetcher;
import org.masticcroft.ports.config.ConfigPeerHandler;
import org.masticcroft.service.http.HttpSettings;
import org.masticcroft.service.http.ServiceApplication;
import org.masticcroft.service.process.PeerVersionMonitor;
import org.masticcroft.service.process.ServiceContext;
import org.masticcroft.service.process.ServiceProcess;
import org.masticcroft.service.setting.CommonOptions;
import org.masticcroft.service.setting.Port;
import org.masticcroft.wire.PeerHandler;
import org.masticcroft.wire.PeerServer;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Command that runs an entry. */
@Command(
        name = "entry",
        mixinStandardHelpOptions = true,
        showDefaultValues = false,
        description = "Serves callers: admits their requests and routes them to upstreams.")
final class EntryCommand implements Callable<Integer> {
    /** The lifetime of idempotency keys is the retention time of the log divided by this. */
    private static final int KEY_LIFETIMES_PER_RETENTION = 4;

    private static final int SERVER_THREADS = 256;

    @Mixin
    private CommonOptions common;

    @Option(
            names = "--http-port",
            required = true,
            defaultValue = "${env:MASTICCROFT_HTTP_PORT}",
            converter = Port.class,
            description = "Port for callers. Variable: MASTICCROFT_HTTP_PORT.")
    private int httpPort;

    @Override
    public Integer call() throws Exception {
        ServiceContext context = ServiceContext.ofEntry(common);
        PeerVersionMonitor versionMonitor =
                PeerVersionMonitor.of(context.config(), context.instances(), RandomSource.XO_RO_SHI_RO_128_PP.create());
        EntryRole role = Guice.createInjector(context, EntryModule.of(settings()), catchUp(versionMonitor))
                .getInstance(EntryRole.class);
        PeerHandler handler = versionMonitor.monitoring(
                role.peerHandler(ConfigPeerHandler.of(context.config(), (request, responder) -> {})));
        PeerServer peerServer = PeerServer.of(
                new InetSocketAddress(common.bind(), common.peerPort()), context.config()::version, handler);
        HttpSettings http = new HttpSettings(common.bind(), httpPort, common.adminPort(), SERVER_THREADS);
        ServiceApplication application =
                ServiceApplication.of(http, context.metrics(), role, role.resources(), role.adminResources());
        ServiceProcess.of(context, role, application, peerServer, common.drainDeadline())
                .run();
        return 0;
    }

    private EntrySettings settings() {
        return EntrySettings.of(common.instance(), common.region(), common.dataCentre())
                .withKeyLifetime(common.logRetention().dividedBy(KEY_LIFETIMES_PER_RETENTION));
    }

    private static AbstractModule catchUp(PeerVersionMonitor versionMonitor) {
        return new AbstractModule() {
            @Override
            protected void configure() {
                OptionalBinder.newOptionalBinder(binder(), ConfigFetcher.class)
                        .setBinding()
                        .toInstance(versionMonitor::fetchAtLeast);
            }
        };
    }
}
