package org.masticcroft.sidecar.fetch;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.commons.rng.UniformRandomProvider;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.event.EventLog;
import org.masticcroft.kernel.id.WeightsDigest;
import org.masticcroft.kernel.rollout.Fetch;
import org.masticcroft.kernel.rollout.FetchPlanner;
import org.masticcroft.kernel.rollout.FetchView;
import org.masticcroft.kernel.time.TimeSource;
import org.masticcroft.ports.engine.EngineClient;
import org.masticcroft.ports.engine.EngineState;
import org.masticcroft.ports.weights.Manifest;
import org.masticcroft.sidecar.target.ManifestCache;
import org.masticcroft.sidecar.target.Reconciler;
import org.masticcroft.sidecar.target.Target;

/**
 * Fetches one set of weights at a time into the staging area of the engine, with at most {@link #MAX_IN_TRANSIT} chunks
 * in transit. A planner chooses the chunks and their sources; every chunk is verified against the manifest.
 */
public final class ChunkFetcher implements Reconciler.FetchControl {
    /** Maximum number of chunks in the memory of the sidecar at the same time. */
    public static final int MAX_IN_TRANSIT = 8;
    /** Maximum number of chunks in transit from other regions; more would only share the same limited bandwidth. */
    static final int MAX_REMOTE_IN_TRANSIT = 2;
    /** Limit on the chunks tried in one round, in case the planner keeps choosing sources that are blocked now. */
    static final int MAX_TRIED_PER_ROUND = 32;
    /** Delay before the store or the staging area is used again after a failure. */
    static final Duration RETRY_DELAY = Duration.ofMillis(500);

    private final ManifestCache manifests;
    private final EngineClient engine;
    private final ChunkTransfer transfer;
    private final PeerTable peers;
    private final BitmapExchange exchange;
    private final PlannerSupplier plannerSupplier;
    private final TokenBucket interRegionLimit;
    private final Environment environment;
    private final AtomicInteger schedulingRequests = new AtomicInteger();

    private Target target;
    private FetchJob job;
    private EngineState engineState;
    private final Set<WeightsDigest> completed = new HashSet<>();
    private long storeBlockedUntilNanos;
    private long stagingBlockedUntilNanos;

    ChunkFetcher(
            ManifestCache manifests,
            EngineClient engine,
            ChunkTransfer transfer,
            PeerTable peers,
            BitmapExchange exchange,
            PlannerSupplier plannerSupplier,
            TokenBucket interRegionLimit,
            Environment environment) {
        this.manifests = manifests;
        this.engine = engine;
        this.transfer = transfer;
        this.peers = peers;
        this.exchange = exchange;
        this.plannerSupplier = plannerSupplier;
        this.interRegionLimit = interRegionLimit;
        this.environment = environment;
        this.storeBlockedUntilNanos = environment.time.nanoTime();
        this.stagingBlockedUntilNanos = storeBlockedUntilNanos;
    }

    /** Returns the verified and staged chunks of the weights; empty if these weights are not being fetched. */
    public synchronized Optional<BitSet> held(WeightsDigest digest) {
        return job != null && job.manifest.digest().equals(digest)
                ? Optional.of((BitSet) job.held.clone())
                : Optional.empty();
    }

    @Override
    public synchronized void start(Target newTarget) {
        if (target != null && !target.digest().equals(newTarget.digest())) {
            abandon("target-changed");
        }
        target = newTarget;
    }

    @Override
    public synchronized boolean isFetching(WeightsDigest digest) {
        return target != null && target.digest().equals(digest);
    }

    @Override
    public synchronized void stop(String reason) {
        abandon(reason);
        target = null;
    }

    @Override
    public synchronized void updateEngineState(EngineState state) {
        if (engineState != null && !engineState.incarnation().equals(state.incarnation())) {
            completed.clear();
        }
        engineState = state;
        if (job != null && !job.incarnation.equals(state.incarnation())) {
            abandon("engine-restarted");
        }
    }

    @Override
    public synchronized boolean isComplete(WeightsDigest digest) {
        return completed.contains(digest);
    }

    @Override
    public synchronized void invalidate(WeightsDigest digest) {
        completed.remove(digest);
        if (job != null && job.manifest.digest().equals(digest)) {
            abandon("staging-dropped");
        }
    }

    /**
     * Starts as many transfers as the planner and the limits allow now. A call that overlaps a running one returns at
     * once and makes the running one repeat its work.
     */
    public void scheduleTransfers() {
        if (schedulingRequests.getAndIncrement() > 0) {
            return;
        }
        int handledRequests;
        do {
            handledRequests = schedulingRequests.get();
            startTransfers();
        } while (!schedulingRequests.compareAndSet(handledRequests, 0));
    }

    private void startTransfers() {
        Optional<FetchJob> current = currentJob();
        if (current.isEmpty()) {
            return;
        }
        FetchJob activeJob = current.get();
        exchange.poll(activeJob.manifest.digest());
        takeUnverified(activeJob).forEach(chunk -> environment.workers.execute(() -> verifyStaged(activeJob, chunk)));
        Set<Integer> tried = new HashSet<>();
        Optional<Fetch> next = plan(activeJob, tried);
        while (next.isPresent() && tried.size() < MAX_TRIED_PER_ROUND) {
            Fetch fetch = next.get();
            boolean remote = isRemote(fetch.source());
            if (admitTransfer(activeJob, fetch, remote)) {
                environment.workers.execute(() -> runTransfer(activeJob, fetch, remote));
            }
            tried.add(fetch.chunk());
            next = plan(activeJob, tried);
        }
    }

    /** Returns the incomplete job of the target; creates it once the manifest and the engine's state are known. */
    private synchronized Optional<FetchJob> currentJob() {
        if (target == null || engineState == null) {
            return Optional.empty();
        }
        if (job == null) {
            manifests.request(target);
            manifests.find(target.digest()).ifPresent(this::startJob);
        }
        return Optional.ofNullable(job).filter(current -> !current.isComplete());
    }

    private void startJob(Manifest manifest) {
        BitSet staged = new BitSet(manifest.chunkCount());
        engineState
                .staged(manifest.digest())
                .ifPresent(weights -> weights.chunks().stream()
                        .filter(index -> index >= 0 && index < manifest.chunkCount())
                        .forEach(staged::set));
        job = new FetchJob(manifest, engineState.incarnation(), staged, environment.time.nanoTime());
        EventLog.info(
                Event.FETCH_STARTED,
                "digest",
                manifest.digest(),
                "chunks",
                manifest.chunkCount(),
                "staged",
                staged.cardinality());
    }

    private void abandon(String reason) {
        if (job != null) {
            job.ended = true;
            if (!job.isComplete()) {
                EventLog.info(
                        Event.FETCH_ABANDONED,
                        "digest",
                        job.manifest.digest(),
                        "held",
                        job.held.cardinality(),
                        "reason",
                        reason);
            }
            job = null;
        }
    }

    /**
     * Marks unverified chunks, which were staged before this job was created, as in progress and returns them; at most
     * as many as may be in transit.
     */
    private synchronized List<Integer> takeUnverified(FetchJob current) {
        List<Integer> chunks = current.unverified.stream()
                .limit(MAX_IN_TRANSIT - current.inProgress.size())
                .boxed()
                .toList();
        chunks.forEach(current.unverified::clear);
        current.inProgress.addAll(chunks);
        return chunks;
    }

    /** Reads a staged chunk back from the engine; a chunk that does not match the manifest is fetched again. */
    private void verifyStaged(FetchJob current, int chunk) {
        boolean valid = false;
        try {
            valid = !current.ended && current.manifest.matches(chunk, engine.chunk(current.manifest.digest(), chunk));
            if (!valid && !current.ended) {
                recordRejection(current, chunk, "staging-area", "digest-mismatch");
            }
        } catch (MasticcroftException e) {
            recordRejection(current, chunk, "staging-area", e.getMessage());
        } finally {
            finishTransfer(current, chunk, false, valid);
        }
        scheduleTransfers();
    }

    /** Asks the planner for a chunk that is neither in progress nor already tried in this round. */
    private synchronized Optional<Fetch> plan(FetchJob current, Set<Integer> tried) {
        boolean stagingBlocked = environment.time.nanoTime() - stagingBlockedUntilNanos < 0;
        if (current.ended || stagingBlocked || current.inProgress.size() >= MAX_IN_TRANSIT) {
            return Optional.empty();
        }
        Set<Integer> excluded = new HashSet<>(current.inProgress);
        excluded.addAll(tried);
        return plannerSupplier.planner().next(view(current, excluded), environment.random);
    }

    private FetchView view(FetchJob current, Set<Integer> excluded) {
        WeightsDigest digest = current.manifest.digest();
        return new FetchView(
                environment.self,
                current.manifest.chunkCount(),
                (BitSet) current.held.clone(),
                excluded,
                environment.members.regionMembers(digest).stream()
                        .filter(member -> !peers.isUnavailable(member))
                        .toList(),
                peers.view(current.startNanos),
                environment.time.since(current.startNanos).toMillis(),
                environment.time.since(current.lastProgressNanos).toMillis(),
                new FetchView.Store(!environment.storeIsRemote, storeSuspectedUntilMillis(current)));
    }

    private long storeSuspectedUntilMillis(FetchJob current) {
        return Math.max(
                0, Duration.ofNanos(storeBlockedUntilNanos - current.startNanos).toMillis());
    }

    private synchronized boolean admitTransfer(FetchJob current, Fetch fetch, boolean remote) {
        int chunk = fetch.chunk();
        boolean notNeeded = chunk < 0
                || chunk >= current.manifest.chunkCount()
                || current.held.get(chunk)
                || current.inProgress.contains(chunk);
        boolean storeBlocked = fetch.source() instanceof Fetch.Source.Store
                && environment.time.nanoTime() - storeBlockedUntilNanos < 0;
        if (current.ended || notNeeded || storeBlocked || (remote && !admitRemoteTransfer(current, chunk))) {
            return false;
        }
        current.inProgress.add(chunk);
        current.remoteInProgress += remote ? 1 : 0;
        EventLog.info(
                Event.FETCH_DECISION,
                "digest",
                current.manifest.digest(),
                "chunk",
                chunk,
                "source",
                sourceName(fetch.source()),
                "reason",
                fetch.reason());
        return true;
    }

    /**
     * Applies this sidecar's share of the inter-region bandwidth, which all sidecars of the region that want the
     * weights share.
     */
    private boolean admitRemoteTransfer(FetchJob current, int chunk) {
        if (current.remoteInProgress >= MAX_REMOTE_IN_TRANSIT) {
            return false;
        }
        int regionMemberCount =
                environment.members.regionMembers(current.manifest.digest()).size();
        interRegionLimit.updateRate((double) environment.interRegionBytesPerSecond / Math.max(1, regionMemberCount));
        return interRegionLimit.tryConsume(current.manifest.chunkLength(chunk));
    }

    private boolean isRemote(Fetch.Source source) {
        return source instanceof Fetch.Source.PeerSource peer
                ? peers.find(peer.instance())
                        .filter(found -> !found.sameRegion())
                        .isPresent()
                : environment.storeIsRemote;
    }

    private void runTransfer(FetchJob current, Fetch fetch, boolean remote) {
        boolean progress = false;
        try {
            progress = !current.ended && transferAndStage(current, fetch);
        } catch (RuntimeException e) {
            EventLog.error(Event.INTERNAL_ERROR, e, "what", "chunk transfer");
        } finally {
            finishTransfer(current, fetch.chunk(), remote, progress);
        }
        if (progress) {
            scheduleTransfers();
        }
    }

    private boolean transferAndStage(FetchJob current, Fetch fetch) {
        ChunkTransfer.Result result = transfer.execute(current.manifest, fetch);
        if (result.data().isEmpty()) {
            if (fetch.source() instanceof Fetch.Source.Store) {
                blockStore();
            }
            return false;
        }
        byte[] data = result.data().get();
        environment
                .metrics
                .counter(MetricRegistry.name("sidecar.fetch.bytes", sourceKind(fetch.source())))
                .inc(data.length);
        return !current.ended && stage(current, fetch.chunk(), data);
    }

    /** Stages a verified chunk in the engine, which must report the same digest for the bytes that it stored. */
    private boolean stage(FetchJob current, int chunk, byte[] data) {
        String expected = current.manifest.chunks().get(chunk);
        try {
            String stored = engine.putChunk(current.manifest.digest(), chunk, data);
            if (expected.equals(stored)) {
                return true;
            }
            recordRejection(current, chunk, "engine", "digest of the staged chunk differs from the manifest");
        } catch (MasticcroftException e) {
            EventLog.warn(Event.SOURCE_SET_BACK, "source", "engine", "reason", e.getMessage());
        }
        blockStaging();
        return false;
    }

    private synchronized void finishTransfer(FetchJob current, int chunk, boolean remote, boolean staged) {
        current.inProgress.remove(chunk);
        current.remoteInProgress -= remote ? 1 : 0;
        if (!staged || current.ended) {
            return;
        }
        current.held.set(chunk);
        current.lastProgressNanos = environment.time.nanoTime();
        if (current.isComplete()) {
            completed.add(current.manifest.digest());
            EventLog.info(
                    Event.ROLLOUT_FINISHED,
                    "digest",
                    current.manifest.digest(),
                    "ms",
                    environment.time.since(current.startNanos).toMillis());
            environment.onComplete.run();
        }
    }

    private void recordRejection(FetchJob current, int chunk, String source, String reason) {
        environment.metrics.counter("sidecar.fetch.rejected").inc();
        EventLog.warn(
                Event.CHUNK_REJECTED,
                "digest",
                current.manifest.digest(),
                "chunk",
                chunk,
                "source",
                source,
                "reason",
                reason);
    }

    private synchronized void blockStore() {
        storeBlockedUntilNanos = environment.time.nanoTime() + RETRY_DELAY.toNanos();
    }

    private synchronized void blockStaging() {
        stagingBlockedUntilNanos = environment.time.nanoTime() + RETRY_DELAY.toNanos();
    }

    private String sourceKind(Fetch.Source source) {
        if (source instanceof Fetch.Source.Store) {
            return "store";
        }
        return isRemote(source) ? "peer-remote" : "peer-region";
    }

    static String sourceName(Fetch.Source source) {
        return source instanceof Fetch.Source.PeerSource peer ? peer.instance() : "store";
    }

    /** Returns the planner that the configuration selects at present. */
    public interface PlannerSupplier {
        FetchPlanner planner();
    }

    /**
     * Settings and collaborators that the fetcher shares with the rest of the sidecar.
     *
     * @param self instance id of this sidecar
     * @param storeIsRemote whether the weight store is in another region
     * @param interRegionBytesPerSecond limit on traffic from other regions, shared by all sidecars of this
     *     region that want the same weights
     * @param members the sidecars that want the same weights
     * @param workers runs transfers; with at least {@link #MAX_IN_TRANSIT} threads
     * @param time the clock
     * @param random source of randomness for the planner, used under the lock of the fetcher only
     * @param metrics registry of metrics
     * @param onComplete called when all chunks are staged; must not block
     */
    public record Environment(
            String self,
            boolean storeIsRemote,
            long interRegionBytesPerSecond,
            SwarmMembers members,
            Executor workers,
            TimeSource time,
            UniformRandomProvider random,
            MetricRegistry metrics,
            Runnable onComplete) {
        /** Rejects nulls. */
        public Environment {
            Objects.requireNonNull(self, "self");
            Objects.requireNonNull(members, "members");
            Objects.requireNonNull(workers, "workers");
            Objects.requireNonNull(time, "time");
            Objects.requireNonNull(random, "random");
            Objects.requireNonNull(metrics, "metrics");
            Objects.requireNonNull(onComplete, "onComplete");
        }
    }
}
