package org.masticcroft.entry;

import com.codahale.metrics.MetricRegistry;
import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import org.apache.commons.rng.simple.RandomSource;
import org.masticcroft.account.record.AuditRecord;
import org.masticcroft.account.record.RequestRecord;
import org.masticcroft.account.writer.AccountWriter;
import org.masticcroft.entry.admission.AdmissionGate;
import org.masticcroft.entry.order.ClaimLog;
import org.masticcroft.entry.order.OutcomeCache;
import org.masticcroft.entry.order.StoredAnswer;
import org.masticcroft.entry.peer.EntryPeerHandler;
import org.masticcroft.entry.peer.PeerEntries;
import org.masticcroft.entry.peer.StatusPoller;
import org.masticcroft.entry.policy.Policies;
import org.masticcroft.entry.request.AnswerHeaders;
import org.masticcroft.entry.request.AnswerSink;
import org.masticcroft.entry.request.CallerRequest;
import org.masticcroft.entry.request.EntryComponents;
import org.masticcroft.entry.request.Failure;
import org.masticcroft.entry.request.RateLimiter;
import org.masticcroft.entry.request.RequestLifecycle;
import org.masticcroft.entry.request.RequestRegistry;
import org.masticcroft.entry.suspect.SuspectTable;
import org.masticcroft.entry.task.SynchronizedRandom;
import org.masticcroft.entry.task.Timers;
import org.masticcroft.entry.upstream.DeploymentHistory;
import org.masticcroft.entry.upstream.UpstreamTable;
import org.masticcroft.entry.version.VersionGate;
import org.masticcroft.kernel.breaker.ConsecutiveFailureBreaker;
import org.masticcroft.kernel.config.ConfigState;
import org.masticcroft.kernel.config.ConfigView;
import org.masticcroft.kernel.config.CustomerConfig;
import org.masticcroft.kernel.config.DeploymentConfig;
import org.masticcroft.kernel.config.FleetConfig;
import org.masticcroft.kernel.config.KeyConfig;
import org.masticcroft.kernel.config.LimitsConfig;
import org.masticcroft.kernel.config.ModelConfig;
import org.masticcroft.kernel.config.RankConfig;
import org.masticcroft.kernel.config.ServiceConfig;
import org.masticcroft.kernel.config.VersionConfig;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.kernel.id.WeightsDigest;
import org.masticcroft.kernel.retry.RetryAllowance;
import org.masticcroft.kernel.retry.SlidingRetryBudget;
import org.masticcroft.kernel.time.ManualTimeSource;
import org.masticcroft.kernel.verdict.Verdict;
import org.masticcroft.ports.instance.Instance;
import org.masticcroft.ports.log.LogPage;
import org.masticcroft.ports.log.LogRecord;
import org.masticcroft.ports.log.LogService;
import org.masticcroft.wire.PeerCall;
import org.masticcroft.wire.PeerCallListener;
import org.masticcroft.wire.PeerClient;
import org.masticcroft.wire.PeerHandler;
import org.masticcroft.wire.PeerResponder;
import org.masticcroft.wire.generated.Dispatch;
import org.masticcroft.wire.generated.DispatchChunk;
import org.masticcroft.wire.generated.DispatchEnd;
import org.masticcroft.wire.generated.DispatchHead;
import org.masticcroft.wire.generated.DispatchStarted;
import org.masticcroft.wire.generated.Envelope;
import org.masticcroft.wire.generated.ReadyModel;
import org.masticcroft.wire.generated.StatusReply;
import org.masticcroft.wire.generated.UpstreamLoad;

/** An entry with a manual clock and one deterministic thread, and with fakes of the components that it uses. */
public final class EntryFixture {
    public static final String V1 = digest('1');
    public static final String V2 = digest('2');
    public static final String CHAT = "{\"model\":\"chat\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]";
    public static final Instant START = Instant.parse("2026-12-04T08:00:00Z");

    public final ManualTimeSource time = ManualTimeSource.of(START);
    public final List<RequestRecord> records = new ArrayList<>();
    public final Map<String, Instance> instances = new TreeMap<>();
    public final Map<Integer, StatusReply> statuses = new HashMap<>();
    public final FakeConfig config = new FakeConfig();
    public final FakePeers peers = new FakePeers();
    public final Timers timers = Timers.of(time);
    public final EntryComponents components;
    public final RequestRegistry requests;
    public final StatusPoller poller;
    public String callerKey = "secret";
    public Optional<String> minConfig = Optional.empty();
    private final Queue<Runnable> tasks = new ArrayDeque<>();

    private EntryFixture(String self, FakeLog log) {
        EntrySettings settings = EntrySettings.of(self, "west", "dc-1");
        SynchronizedRandom random = SynchronizedRandom.of(RandomSource.XO_RO_SHI_RO_128_PP.create(7L));
        VersionGate versions = VersionGate.of(config, version -> {});
        UpstreamTable upstreams = UpstreamTable.of(self, "west", time, upstream -> ConsecutiveFailureBreaker.of());
        SuspectTable suspects = SuspectTable.of(time);
        Policies policies = Policies.fallbacksOnly();
        components = new EntryComponents(
                settings,
                time,
                timers,
                tasks::add,
                config,
                versions,
                DeploymentHistory.empty(),
                policies,
                RetryAllowance.inAdditionTo(SlidingRetryBudget.of()),
                random,
                AdmissionGate.of(time, config, policies, upstreams, suspects, random),
                upstreams,
                suspects,
                ClaimLog.of(self, time, log, settings.keyLifetime()),
                OutcomeCache.of(settings.outcomeCacheBytes(), settings.keyLifetime(), time),
                PeerEntries.of(self, () -> List.copyOf(instances.values()), peers, versions),
                peers,
                new FakeAccount(),
                RateLimiter.of(time),
                new MetricRegistry());
        requests = RequestRegistry.of(components);
        poller = StatusPoller.of(components, () -> List.copyOf(instances.values()), requests::onUnreachable);
        engine("e1", 9001, V1);
        engine("e2", 9002, V1);
        sidecar("s1", 9003, Instance.Kind.SERVICE, "switching");
        status(9003, "s1", List.of());
        poller.poll();
    }

    public static EntryFixture create() {
        return of("entry-a", new FakeLog());
    }

    public static EntryFixture of(String self, FakeLog log) {
        return new EntryFixture(self, log);
    }

    public Instance sidecar(String id, int port, Instance.Kind kind, String group) {
        return instance(id, Instance.Role.SIDECAR, port, Optional.of(new Instance.Upstream(id, kind, group)));
    }

    public void engine(String id, int port, String digest) {
        sidecar(id, port, Instance.Kind.ENGINE, "engines");
        status(port, id, List.of(digest));
    }

    public void otherEntry(String id, int port) {
        instance(id, Instance.Role.ENTRY, port, Optional.empty());
    }

    public void status(int port, String upstream, List<String> digests) {
        StatusReply.Builder reply = StatusReply.newBuilder()
                .setInstance(upstream)
                .setEngineIncarnation("i1")
                .setLoad(load(upstream, false));
        digests.forEach(digest -> reply.addReady(ReadyModel.newBuilder().setWeightsDigest(digest)));
        statuses.put(port, reply.build());
    }

    public static UpstreamLoad load(String upstream, boolean draining) {
        return UpstreamLoad.newBuilder()
                .setUpstream(upstream)
                .setSlots(2)
                .setDraining(draining)
                .build();
    }

    public FakeSink chat(boolean stream) {
        return chat(CHAT + ",\"stream\":" + stream + "}");
    }

    public FakeSink chat(String body) {
        return send(CallerRequest.Kind.CHAT, "", "POST", "/v1/chat/completions", Optional.empty(), body);
    }

    public FakeSink order(String key) {
        return send(CallerRequest.Kind.SERVICE, "switch", "POST", "/orders/1", Optional.of(key), "connect");
    }

    public FakeSink send(
            CallerRequest.Kind kind, String target, String method, String path, Optional<String> key, String body) {
        FakeSink sink = new FakeSink();
        sink.lifecycle = requests.accept(
                new CallerRequest(
                        kind,
                        target,
                        method,
                        path,
                        "application/json",
                        Optional.of("Bearer " + callerKey),
                        key,
                        minConfig,
                        body.getBytes(StandardCharsets.UTF_8)),
                sink);
        settle();
        return sink;
    }

    /** Runs the tasks of requests until none is left. */
    public void settle() {
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
            task.run();
        }
    }

    public void advance(Duration step) {
        time.advance(step);
        timers.runDue();
        settle();
    }

    /** Commits the pending claims and reads the log back. */
    public void commitClaims() {
        components.claims().commit();
        components.claims().read(Duration.ZERO);
        settle();
    }

    /** Ends each further attempt in the same way until the request has finished. */
    public void endAttempts(Consumer<FakeCall> endAttempt) {
        int finished = records.size();
        while (records.size() == finished) {
            endAttempt.accept(peers.last());
        }
    }

    /** Fails the request in progress and returns the error codes of its attempts except the last one. */
    public List<String> failAndGetAttemptCodes() {
        endAttempts(call -> call.fail(Verdict.NOT_RUN, ErrorCode.DEADLINE_EXCEEDED));
        List<RequestRecord.Attempt> attempts = lastRecord().attempts();
        return attempts.subList(0, attempts.size() - 1).stream()
                .map(attempt -> attempt.errorCode().orElse("none"))
                .toList();
    }

    public RequestRecord lastRecord() {
        return records.get(records.size() - 1);
    }

    public PeerHandler handler() {
        return EntryPeerHandler.of(
                components.settings(),
                config,
                components.versions(),
                components.upstreams(),
                components.suspects(),
                components.outcomes(),
                (request, responder) -> {});
    }

    /** Returns the reply of this entry to a request of a peer. */
    public Envelope callAsPeer(Envelope.Builder request) {
        CompletableFuture<Envelope> reply = new CompletableFuture<>();
        handler().onRequest(request.build(), new PeerResponder() {
            @Override
            public void send(Envelope.Builder envelope) {
                reply.complete(envelope.build());
            }

            @Override
            public void finish(Envelope.Builder envelope) {
                reply.complete(envelope.build());
            }

            @Override
            public boolean isWritable() {
                return true;
            }

            @Override
            public boolean isOpen() {
                return true;
            }
        });
        return reply.getNow(Envelope.getDefaultInstance());
    }

    private Instance instance(String id, Instance.Role role, int port, Optional<Instance.Upstream> upstream) {
        Instance instance =
                new Instance(id, role, "west", "dc-1", "127.0.0.1", 0, 0, port, Instance.State.LIVE, upstream);
        instances.put(id, instance);
        return instance;
    }

    public void markLeaving(String id) {
        Instance old = instances.get(id);
        instances.put(
                id,
                new Instance(
                        id,
                        old.role(),
                        old.region(),
                        old.dataCentre(),
                        old.host(),
                        0,
                        0,
                        old.peerPort(),
                        Instance.State.LEAVING,
                        old.upstream()));
    }

    private static Envelope.Builder headFor(Dispatch dispatch, String contentType) {
        return Envelope.newBuilder()
                .setDispatchHead(DispatchHead.newBuilder()
                        .setRequestId(dispatch.getRequestId())
                        .setAttempt(dispatch.getAttempt())
                        .setStatus(200)
                        .setContentType(contentType));
    }

    private static DispatchEnd.Builder successFor(Dispatch dispatch, String data) {
        return DispatchEnd.newBuilder()
                .setRequestId(dispatch.getRequestId())
                .setAttempt(dispatch.getAttempt())
                .setVerdict(org.masticcroft.wire.generated.Verdict.RAN)
                .setByteCount(data.length())
                .setAnswerSha256(ByteString.copyFrom(Hashing.sha256()
                        .hashString(data, StandardCharsets.UTF_8)
                        .asBytes()))
                .setWeightsDigest(dispatch.getWeightsDigest());
    }

    private static String digest(char digit) {
        return "sha256:" + String.valueOf(digit).repeat(64);
    }

    /** A caller that records the answer that it receives. */
    public static final class FakeSink implements AnswerSink {
        public RequestLifecycle lifecycle;
        public Optional<StoredAnswer> answer = Optional.empty();
        public Optional<Failure> failure = Optional.empty();
        public Optional<AnswerHeaders> headers = Optional.empty();
        public final StringBuilder stream = new StringBuilder();
        public boolean streamEnded;
        public boolean disconnected;

        @Override
        public void sendAnswer(AnswerHeaders newHeaders, StoredAnswer newAnswer) {
            headers = Optional.of(newHeaders);
            answer = Optional.of(newAnswer);
        }

        @Override
        public void beginStream(AnswerHeaders newHeaders) {
            headers = Optional.of(newHeaders);
        }

        @Override
        public boolean sendChunk(byte[] data) {
            stream.append(new String(data, StandardCharsets.UTF_8));
            return !disconnected;
        }

        @Override
        public void endStream() {
            streamEnded = true;
        }

        @Override
        public void sendFailure(AnswerHeaders newHeaders, Failure newFailure) {
            headers = Optional.of(newHeaders);
            failure = Optional.of(newFailure);
        }

        public String body() {
            return answer.map(whole -> new String(whole.body(), StandardCharsets.UTF_8))
                    .orElse("");
        }

        public ErrorCode code() {
            return failure.orElseThrow().code();
        }

        public Verdict verdict() {
            return failure.orElseThrow().verdict();
        }
    }

    /**
     * A peer client. It answers status requests immediately and other requests with {@code replyOfEntries}; the test
     * answers the dispatches.
     */
    public final class FakePeers implements PeerClient {
        public final List<FakeCall> calls = new ArrayList<>();
        public final List<Envelope> otherRequests = new ArrayList<>();
        public Function<Envelope, Envelope> replyOfEntries = request -> Envelope.getDefaultInstance();

        @Override
        public PeerCall open(InetSocketAddress address, Envelope.Builder request, PeerCallListener listener) {
            FakeCall call = new FakeCall(calls.size() + 1, address, request.getDispatch(), listener);
            calls.add(call);
            return call;
        }

        @Override
        public CompletableFuture<Envelope> call(InetSocketAddress address, Envelope.Builder request, Duration timeout) {
            StatusReply status = statuses.get(address.getPort());
            if (request.hasStatusRequest() && status != null) {
                return CompletableFuture.completedFuture(
                        Envelope.newBuilder().setStatusReply(status).build());
            }
            otherRequests.add(request.build());
            return CompletableFuture.completedFuture(replyOfEntries.apply(request.build()));
        }

        public FakeCall last() {
            return calls.get(calls.size() - 1);
        }

        @Override
        public void close() {}
    }

    /** A dispatch, seen from the sidecar. */
    public final class FakeCall implements PeerCall {
        public final Dispatch dispatch;
        public final List<Envelope> sent = new ArrayList<>();
        public boolean closed;
        private final long callId;
        private final InetSocketAddress address;
        private final PeerCallListener listener;
        private final StringBuilder data = new StringBuilder();
        private int sequence;

        private FakeCall(long callId, InetSocketAddress address, Dispatch dispatch, PeerCallListener listener) {
            this.callId = callId;
            this.address = address;
            this.dispatch = dispatch;
            this.listener = listener;
        }

        @Override
        public void send(Envelope.Builder message) {
            sent.add(message.build());
        }

        @Override
        public void close() {
            closed = true;
        }

        public int port() {
            return address.getPort();
        }

        public void reply(Envelope.Builder envelope) {
            listener.onReply(envelope.setCallId(callId).build());
            settle();
        }

        public FakeCall started(String incarnation) {
            reply(Envelope.newBuilder()
                    .setDispatchStarted(DispatchStarted.newBuilder()
                            .setRequestId(dispatch.getRequestId())
                            .setAttempt(dispatch.getAttempt())
                            .setEngineIncarnation(incarnation)));
            return this;
        }

        public FakeCall head(String contentType) {
            reply(headFor(dispatch, contentType));
            return this;
        }

        /** Sends the complete answer to another dispatch on this call. */
        public void sendAnswerOf(Dispatch other, String text) {
            reply(headFor(other, "application/json"));
            chunk(0, text);
            end(successFor(other, text));
        }

        public FakeCall chunk(String text) {
            data.append(text);
            return chunk(sequence++, text);
        }

        public FakeCall chunk(int number, String text) {
            reply(Envelope.newBuilder()
                    .setDispatchChunk(
                            DispatchChunk.newBuilder().setSequence(number).setData(ByteString.copyFromUtf8(text))));
            return this;
        }

        public FakeCall tokens(String... tokens) {
            for (String token : tokens) {
                chunk("data: {\"choices\":[{\"delta\":{\"content\":\"" + token + "\"}}]}\n\n");
            }
            return this;
        }

        public FakeCall done() {
            chunk("data: {\"choices\":[],\"usage\":{\"completion_tokens\":1},\"weights_digest\":\"x\"}\n\n");
            return chunk("data: [DONE]\n\n");
        }

        public DispatchEnd.Builder success() {
            return successFor(dispatch, data.toString());
        }

        public void end(DispatchEnd.Builder end) {
            reply(Envelope.newBuilder().setDispatchEnd(end));
        }

        public void answer(String text) {
            head("application/json").chunk(text).end(success());
        }

        public DispatchEnd.Builder failed(Verdict verdict, ErrorCode code) {
            return DispatchEnd.newBuilder()
                    .setRequestId(dispatch.getRequestId())
                    .setAttempt(dispatch.getAttempt())
                    .setVerdict(org.masticcroft.wire.generated.Verdict.valueOf(verdict.name()))
                    .setErrorCode(code.name());
        }

        public void fail(Verdict verdict, ErrorCode code) {
            end(failed(verdict, code));
        }

        public void crash() {
            end(failed(Verdict.MAY_HAVE_RUN, ErrorCode.UPSTREAM_CRASHED).setUpstreamCrashed(true));
        }

        public void failConnection(Verdict verdict) {
            listener.onFailure(MasticcroftException.of(ErrorCode.PEER_UNREACHABLE, verdict, "connection lost"));
            settle();
        }
    }

    /** An in-memory log that fails, loses responses or delays records on demand. */
    public static final class FakeLog implements LogService {
        public final List<LogRecord> records = new ArrayList<>();
        public boolean unavailable;
        public boolean loseResponses;
        public boolean delayRecords;
        private final List<byte[]> delayedRecords = new ArrayList<>();

        @Override
        public long append(String stream, byte[] data) {
            if (unavailable) {
                throw MasticcroftException.notRun(ErrorCode.LOG_UNAVAILABLE, "log unavailable");
            }
            if (delayRecords) {
                delayedRecords.add(data);
            } else {
                records.add(new LogRecord(records.size(), START, data));
            }
            if (loseResponses || delayRecords) {
                throw MasticcroftException.of(ErrorCode.LOG_UNAVAILABLE, Verdict.MAY_HAVE_RUN, "response lost");
            }
            return records.size() - 1L;
        }

        /** Appends the records that were delayed. */
        public void acceptDelayedRecords() {
            delayedRecords.forEach(data -> records.add(new LogRecord(records.size(), START, data)));
            delayedRecords.clear();
        }

        @Override
        public LogPage read(String stream, long from, int max, Duration wait) {
            return new LogPage(0, records.size(), records.subList((int) from, records.size()));
        }

        public String text() {
            StringBuilder text = new StringBuilder();
            records.forEach(record -> text.append(new String(record.data(), StandardCharsets.UTF_8)));
            return text.toString();
        }
    }

    /** A configuration that the test can replace. */
    public static final class FakeConfig implements ConfigView {
        public Duration age = Duration.ZERO;
        private ConfigState state = new ConfigState(1, fleet("v1", 0), 0);

        @Override
        public ConfigState state() {
            return state;
        }

        @Override
        public Duration age() {
            return age;
        }

        public void publish(FleetConfig fleet) {
            state = new ConfigState(state.version() + 1, fleet, 0);
        }

        private static KeyConfig key(String key, String rank) {
            String hash =
                    Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
            return new KeyConfig(hash, "crew", rank);
        }

        public static FleetConfig drained(String upstream) {
            FleetConfig fleet = fleet("v1", 0);
            return new FleetConfig(
                    fleet.ranks(),
                    fleet.customers(),
                    fleet.keys(),
                    fleet.models(),
                    fleet.deployments(),
                    fleet.services(),
                    fleet.limits(),
                    fleet.policies(),
                    new TreeSet<>(List.of(upstream)));
        }

        public static FleetConfig fleet(String version, double requestsPerSecond) {
            return fleet(version, requestsPerSecond, 3);
        }

        public static FleetConfig fleet(String version, double requestsPerSecond, int queueLimit) {
            return new FleetConfig(
                    new TreeMap<>(Map.of(
                            "live", new RankConfig(0, 0.5, Duration.ofSeconds(1), queueLimit),
                            "draft", new RankConfig(2, 0.1, Duration.ofSeconds(9), queueLimit))),
                    new TreeMap<>(Map.of("crew", new CustomerConfig(1, requestsPerSecond))),
                    new TreeMap<>(Map.of("k", key("secret", "live"), "d", key("draft-key", "draft"))),
                    new TreeMap<>(Map.of(
                            "m",
                            ModelConfig.of(Map.of(
                                    "v1", new VersionConfig(WeightsDigest.of(V1), 1),
                                    "v2", new VersionConfig(WeightsDigest.of(V2), 1))))),
                    new TreeMap<>(
                            Map.of("chat", new DeploymentConfig("m", version, "engines", null, Optional.empty()))),
                    new TreeMap<>(Map.of(
                            "switch",
                            new ServiceConfig(
                                    "switching",
                                    List.of(
                                            new ServiceConfig.RouteConfig("POST", "/orders/*", false),
                                            new ServiceConfig.RouteConfig("GET", "/*", true))))),
                    new LimitsConfig(1000, Duration.ofSeconds(30), 100),
                    null,
                    new TreeSet<>());
        }
    }

    private final class FakeAccount implements AccountWriter {
        @Override
        public void write(AuditRecord record) {
            records.add((RequestRecord) record);
        }

        @Override
        public void close() {}
    }
}
