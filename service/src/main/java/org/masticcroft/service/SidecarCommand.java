package org.masticcroft.service;

import com.google.inject.Guice;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.masticcroft.ports.instance.Instance;
import org.masticcroft.service.http.HttpSettings;
import org.masticcroft.service.http.ServiceApplication;
import org.masticcroft.service.process.ServiceContext;
import org.masticcroft.service.process.ServiceProcess;
import org.masticcroft.service.setting.CommonOptions;
import org.masticcroft.service.setting.HttpUrl;
import org.masticcroft.sidecar.SidecarModule;
import org.masticcroft.sidecar.SidecarRole;
import org.masticcroft.sidecar.SidecarSettings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Command that runs the sidecar of one upstream. */
@Command(
        name = "sidecar",
        mixinStandardHelpOptions = true,
        description = "Runs beside one upstream: fetches and shares weights, gives commands, passes requests on.")
final class SidecarCommand implements Callable<Integer> {
    private static final int SERVER_THREADS = 12;

    @Mixin
    private CommonOptions common;

    @Option(
            names = "--upstream",
            required = true,
            defaultValue = "${env:MASTICCROFT_UPSTREAM}",
            description = "Name of the upstream. Variable: MASTICCROFT_UPSTREAM.")
    private String upstream;

    @Option(
            names = "--kind",
            required = true,
            defaultValue = "${env:MASTICCROFT_KIND}",
            description = "Kind of upstream: ${COMPLETION-CANDIDATES}. Variable: MASTICCROFT_KIND.")
    private Kind kind;

    @Option(
            names = "--group",
            required = true,
            defaultValue = "${env:MASTICCROFT_GROUP}",
            description = "Upstream group that deployments and services name. Variable: MASTICCROFT_GROUP.")
    private String group;

    @Option(
            names = "--upstream-url",
            required = true,
            defaultValue = "${env:MASTICCROFT_UPSTREAM_URL}",
            converter = HttpUrl.class,
            description = "Base URL of the upstream. Variable: MASTICCROFT_UPSTREAM_URL.")
    private URI upstreamUrl;

    @Option(
            names = "--store-url",
            defaultValue = "${env:MASTICCROFT_STORE_URL}",
            converter = HttpUrl.class,
            description = "Base URL of the weight store; needed for engines. Variable: MASTICCROFT_STORE_URL.")
    private URI storeUrl;

    @Option(
            names = "--origin-url",
            defaultValue = "${env:MASTICCROFT_ORIGIN_URL}",
            converter = HttpUrl.class,
            description = "Base URL of the origin, used when the weight store does not answer."
                    + " Variable: MASTICCROFT_ORIGIN_URL.")
    private URI originUrl;

    @Option(
            names = "--store-region",
            defaultValue = "${env:MASTICCROFT_STORE_REGION}",
            description = "Region of the weight store; its sidecars draw from the store, others from that region."
                    + " Variable: MASTICCROFT_STORE_REGION. Default: the region of this instance.")
    private String storeRegion;

    @Option(
            names = "--upload-rate",
            defaultValue = "${env:MASTICCROFT_UPLOAD_RATE:-125000000}",
            description = "Limit on chunks sent to peers, in bytes a second. Variable: MASTICCROFT_UPLOAD_RATE."
                    + " Default: 125000000.")
    private long uploadRate;

    @Option(
            names = "--inter-region-rate",
            defaultValue = "${env:MASTICCROFT_INTER_REGION_RATE:-900000}",
            description = "Limit on chunks fetched from other regions by this region as a whole, in bytes a second."
                    + " Variable: MASTICCROFT_INTER_REGION_RATE. Default: 900000, 60 % of a link of 12 Mbit/s.")
    private long interRegionRate;

    @Override
    public Integer call() throws Exception {
        ServiceContext context = ServiceContext.ofSidecar(common);
        SidecarModule module = SidecarModule.of(settings(context.incarnation()));
        SidecarRole role = Guice.createInjector(context, module).getInstance(SidecarRole.class);
        HttpSettings http = HttpSettings.adminOnly(common.bind(), common.adminPort(), SERVER_THREADS);
        ServiceApplication application = ServiceApplication.of(http, context.metrics(), role, List.of(), List.of());
        ServiceProcess.of(context, role, application, () -> {}, common.drainDeadline())
                .run();
        return 0;
    }

    private SidecarSettings settings(String incarnation) {
        List<URI> weightSources = new ArrayList<>();
        for (URI source : new URI[] {storeUrl, originUrl}) {
            if (source != null) {
                weightSources.add(source);
            }
        }
        return new SidecarSettings(
                new SidecarSettings.Identity(common.instance(), incarnation, common.region(), common.dataCentre()),
                new SidecarSettings.Upstream(upstream, kind.instanceKind(), group, upstreamUrl),
                new SidecarSettings.Network(
                        new InetSocketAddress(common.bind(), common.peerPort()),
                        weightSources,
                        storeRegion == null ? common.region() : storeRegion,
                        uploadRate,
                        interRegionRate),
                SidecarSettings.Limits.defaults(),
                common.logRetention());
    }

    /** Kind of upstream, in the lower case of the setting's values. */
    private enum Kind {
        engine,
        service;

        Instance.Kind instanceKind() {
            return this == engine ? Instance.Kind.ENGINE : Instance.Kind.SERVICE;
        }
    }
}
