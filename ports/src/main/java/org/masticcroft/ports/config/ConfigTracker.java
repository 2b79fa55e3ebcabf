package org.masticcroft.ports.config;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.JDKRandomBridge;
import org.apache.commons.rng.simple.RandomSource;
import org.masticcroft.kernel.config.ConfigFold;
import org.masticcroft.kernel.config.ConfigRecord;
import org.masticcroft.kernel.config.ConfigState;
import org.masticcroft.kernel.config.ConfigView;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.event.EventLog;
import org.masticcroft.kernel.time.TimeSource;
import org.masticcroft.ports.instance.Instance;
import org.masticcroft.ports.instance.InstanceList;
import org.masticcroft.ports.log.LogPage;
import org.masticcroft.ports.log.LogRecord;
import org.masticcroft.ports.log.LogService;
import org.masticcroft.ports.log.Streams;
import org.masticcroft.wire.PeerClient;

/**
 * Reads the log stream {@code config}, applies its records to the configuration and notifies listeners of each version
 * that takes effect. While the log is unavailable it fetches newer versions from peers, but only a read up to the end
 * of the stream confirms the configuration.
 */
public final class ConfigTracker implements ConfigView, AutoCloseable {
    /** Age of a configuration that was never confirmed. */
    public static final Duration NEVER_CONFIRMED = Duration.ofDays(36_500);

    private static final int RECORDS_PER_READ = 100;

    /** Peers that one poll asks at most; a few suffice, because every peer has the configuration within seconds. */
    private static final int BOOTSTRAP_PEERS = 16;

    private final LogService log;
    private final InstanceList instances;
    private final TimeSource time;
    private final UniformRandomProvider random;
    private final TrackerSettings settings;
    private final PeerConfigSource peers = new PeerConfigSource();
    private final Optional<SnapshotSchedule> snapshots;
    private final List<ConfigListener> listeners = new CopyOnWriteArrayList<>();
    private final CountDownLatch closed = new CountDownLatch(1);

    private final Object foldLock = new Object();
    private final Object notificationLock = new Object();

    /** Written under {@code foldLock}. */
    private volatile ConfigFold fold = ConfigFold.empty();

    /** Monotonic time at which the last read that confirmed the configuration began; null before the first. */
    private volatile Long confirmedNanos;

    /** Newest version that listeners were notified of; guarded by {@code notificationLock}. */
    private long notifiedVersion;

    /** State at the end of the last poll; used by the polling thread only. */
    private boolean wasConfirmed;

    /** Whether the last read of the log succeeded; used by the polling thread only. */
    private boolean logReachable = true;

    private ConfigTracker(
            LogService log,
            InstanceList instances,
            TimeSource time,
            UniformRandomProvider random,
            TrackerSettings settings) {
        this.log = log;
        this.instances = instances;
        this.time = time;
        this.random = random;
        this.settings = settings;
        this.snapshots = settings.logRetention().map(retention -> new SnapshotSchedule(retention, time, random));
    }

    /**
     * Creates a tracker without a configuration. It reads nothing until it is started or polled.
     *
     * @param log the log service
     * @param instances the list of the instances that can be asked for their configuration
     * @param time the time source
     * @param random the source of randomness; used by the polling thread only
     * @param settings the settings
     */
    public static ConfigTracker of(
            LogService log,
            InstanceList instances,
            TimeSource time,
            UniformRandomProvider random,
            TrackerSettings settings) {
        return new ConfigTracker(
                Objects.requireNonNull(log, "log"),
                Objects.requireNonNull(instances, "instances"),
                Objects.requireNonNull(time, "time"),
                Objects.requireNonNull(random, "random"),
                Objects.requireNonNull(settings, "settings"));
    }

    @Override
    public ConfigState state() {
        return fold.state();
    }

    @Override
    public Duration age() {
        Long confirmed = confirmedNanos;
        return confirmed == null ? NEVER_CONFIRMED : time.since(confirmed);
    }

    /** Returns the version in force in this process, which the peer client and server attach to each message. */
    public long version() {
        return state().version();
    }

    /** Sets the client for requests to peers. Without one the tracker reads the log only. */
    public void attachPeers(PeerClient client) {
        peers.attach(Objects.requireNonNull(client, "client"));
    }

    /** Adds a listener and notifies it of the version in force, if there is one. */
    public void addListener(ConfigListener listener) {
        Objects.requireNonNull(listener, "listener");
        synchronized (notificationLock) {
            listeners.add(listener);
            if (notifiedVersion > 0) {
                notifyListener(listener, state());
            }
        }
    }

    /** Returns a future that completes when a version of at least {@code version} is in force in this process. */
    public CompletableFuture<ConfigState> whenAtLeast(long version) {
        CompletableFuture<ConfigState> reached = new CompletableFuture<>();
        ConfigListener waiter = state -> {
            if (state.version() >= version) {
                reached.complete(state);
            }
        };
        reached.whenComplete((state, failure) -> listeners.remove(waiter));
        addListener(waiter);
        if (version <= 0) {
            reached.complete(state());
        }
        return reached;
    }

    /**
     * Compares the version that a peer reported with the version in force in this process, and fetches the peer's
     * configuration if it is newer. Does not block.
     */
    public void observeVersion(long version, InetSocketAddress peer) {
        if (version > version() && peers.canRequest(peer)) {
            peers.fetch(peer, version).thenAccept(offer -> offer.ifPresent(this::adopt));
        }
    }

    /** Starts polling the log on a dedicated thread. */
    public void start() {
        Thread thread = new Thread(this::run, "config-tracker");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Reads the log once, and asks peers if the log did not provide a usable configuration. Must not be called
     * concurrently.
     *
     * @return whether the read of the log succeeded
     */
    public boolean poll() {
        boolean logRead = readLog();
        if (!fold.isSynchronised() || !logRead && !available()) {
            fetchFromPeers();
        }
        logConfirmationChange();
        return logRead;
    }

    @Override
    public void close() {
        closed.countDown();
    }

    private void run() {
        try {
            boolean running = true;
            while (running) {
                boolean logRead = pollSafely();
                long pauseMillis = logRead ? 0 : settings.retryDelay().toMillis();
                running = !closed.await(pauseMillis, TimeUnit.MILLISECONDS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean pollSafely() {
        try {
            return poll();
        } catch (RuntimeException e) {
            EventLog.error(Event.INTERNAL_ERROR, e, "task", "config-tracker");
            return false;
        }
    }

    private boolean readLog() {
        long readStartNanos = time.nanoTime();
        long fromOffset = fold.position();
        try {
            LogPage page = log.read(Streams.CONFIG, fromOffset, RECORDS_PER_READ, settings.longPoll());
            logReachable = true;
            if (page.next() < fromOffset) {
                EventLog.warn(Event.LOG_UNAVAILABLE, "reason", "stream config ends before offset " + fromOffset);
                return false;
            }
            applyPage(page);
            if (fold.isSynchronised() && fold.position() >= page.next()) {
                confirmedNanos = readStartNanos;
                appendSnapshotIfDue();
            }
            return true;
        } catch (MasticcroftException e) {
            if (logReachable) {
                EventLog.warn(Event.LOG_UNAVAILABLE, "stream", Streams.CONFIG, "reason", e.getMessage());
            }
            logReachable = false;
            return false;
        }
    }

    private void applyPage(LogPage page) {
        synchronized (foldLock) {
            fold = fold.withEarliestOffset(page.earliest());
            snapshots.ifPresent(schedule -> schedule.onEarliest(page.earliest()));
            page.records().forEach(this::applyRecord);
        }
        notifyListeners("log");
    }

    private void applyRecord(LogRecord logRecord) {
        Optional<ConfigRecord> decoded = ConfigRecord.decode(logRecord.data());
        snapshots.ifPresent(schedule -> schedule.onRecord(logRecord.offset(), logRecord.time(), decoded));
        if (decoded.isEmpty()) {
            fold = fold.skip(logRecord.offset());
            logIgnoredRecord(logRecord.offset(), "UNDECODABLE");
            return;
        }
        ConfigFold.Step step = fold.fold(logRecord.offset(), decoded.get());
        fold = step.fold();
        switch (step.outcome()) {
            case BASE_NOT_IN_FORCE, SNAPSHOT_CONFLICTING ->
                logIgnoredRecord(logRecord.offset(), step.outcome().name());
            default -> {
                // The other outcomes need no warning.
            }
        }
    }

    private void adopt(ConfigRecord.Snapshot offer) {
        synchronized (foldLock) {
            fold = fold.adopt(offer).fold();
        }
        notifyListeners("peer");
    }

    private void notifyListeners(String source) {
        synchronized (notificationLock) {
            ConfigState state = state();
            if (state.version() > notifiedVersion) {
                notifiedVersion = state.version();
                EventLog.info(Event.CONFIG_APPLIED, "version", state.version(), "source", source);
                listeners.forEach(listener -> notifyListener(listener, state));
            }
        }
    }

    /** Isolates listeners: the failure of one affects neither the others nor the tracker. */
    private static void notifyListener(ConfigListener listener, ConfigState state) {
        try {
            listener.onApplied(state);
        } catch (RuntimeException e) {
            EventLog.error(Event.INTERNAL_ERROR, e, "task", "config-listener", "version", state.version());
        }
    }

    private void fetchFromPeers() {
        List<Instance> others = new ArrayList<>(instances.instances().stream()
                .filter(instance -> !instance.id().equals(settings.instance()))
                .toList());
        Collections.shuffle(others, new JDKRandomBridge(RandomSource.SPLIT_MIX_64, random.nextLong()));
        List<CompletableFuture<Optional<ConfigRecord.Snapshot>>> offers = others.stream()
                .limit(BOOTSTRAP_PEERS)
                .map(other -> peers.fetch(new InetSocketAddress(other.host(), other.peerPort()), 0))
                .toList();
        offers.forEach(offer -> offer.join().ifPresent(this::adopt));
    }

    private void appendSnapshotIfDue() {
        if (snapshots.isEmpty() || !available() || !snapshots.get().shouldAppend()) {
            return;
        }
        ConfigState state = state();
        try {
            long offset =
                    log.append(Streams.CONFIG, ConfigRecord.Snapshot.of(state).encode());
            EventLog.info(Event.CONFIG_SNAPSHOT_APPENDED, "version", state.version(), "offset", offset);
        } catch (MasticcroftException e) {
            EventLog.warn(Event.LOG_UNAVAILABLE, "request", "snapshot", "reason", e.getMessage());
        }
    }

    private void logConfirmationChange() {
        boolean confirmed = confirmed();
        if (confirmed && !wasConfirmed) {
            EventLog.info(Event.CONFIG_CONFIRMED, "version", version());
        } else if (!confirmed && wasConfirmed) {
            EventLog.warn(Event.CONFIG_UNCONFIRMED, "version", version(), "age_ms", age().toMillis());
        }
        wasConfirmed = confirmed;
    }

    private static void logIgnoredRecord(long offset, String reason) {
        EventLog.warn(Event.CONFIG_RECORD_IGNORED, "offset", offset, "reason", reason);
    }
}
