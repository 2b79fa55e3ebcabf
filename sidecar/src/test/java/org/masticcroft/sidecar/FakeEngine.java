package org.masticcroft.sidecar;

import java.io.ByteArrayInputStream;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.kernel.id.WeightsDigest;
import org.masticcroft.kernel.verdict.Verdict;
import org.masticcroft.ports.engine.CommandResult;
import org.masticcroft.ports.engine.EngineClient;
import org.masticcroft.ports.engine.EngineRequest;
import org.masticcroft.ports.engine.EngineState;
import org.masticcroft.ports.service.UpstreamCall;
import org.masticcroft.ports.service.UpstreamResponse;
import org.masticcroft.ports.weights.Manifest;
import org.masticcroft.ports.weights.Sha256;

/** In-memory engine with faults that the test switches on. */
public final class FakeEngine implements EngineClient {
    public final List<EngineRequest> requests = new ArrayList<>();
    public final List<String> cancelled = new ArrayList<>();
    public final List<String> commands = new ArrayList<>();
    public boolean honoursFencing = true;
    public boolean down;
    public int corruptNextPuts;
    public int puts;
    public int slots = 2;
    public long memoryBytes = 1 << 20;
    public Runnable beforeLoad = () -> {};
    public Function<EngineRequest, InputStream> answer =
            request -> stream(completeStream(request.weights().value()));
    private final Map<String, TreeMap<Integer, byte[]>> staged = new TreeMap<>();
    private final Set<WeightsDigest> loaded = new HashSet<>();
    private int incarnation = 1;
    private long fence;

    public static InputStream stream(String text) {
        return new ByteArrayInputStream(text.getBytes());
    }

    public static String tokens(int count) {
        return "data: {\"choices\":[{\"delta\":{\"content\":\"t\"}}]}\n\n".repeat(count);
    }

    public static String completeStream(String digest) {
        return tokens(2) + "data: {\"choices\":[{\"finish_reason\":\"length\"}],\"usage\":{\"prompt_tokens\":3,"
                + "\"completion_tokens\":2},\"weights_digest\":\"" + digest + "\"}\n\ndata: [DONE]\n\n";
    }

    public void restart() {
        incarnation++;
        fence = 0;
        staged.clear();
        loaded.clear();
        down = false;
    }

    public void loadDirectly(WeightsDigest digest) {
        loaded.add(digest);
    }

    public boolean isLoaded(WeightsDigest digest) {
        return loaded.contains(digest);
    }

    public int stagedChunks(WeightsDigest digest) {
        return staged.getOrDefault(digest.value(), new TreeMap<>()).size();
    }

    @Override
    public UpstreamCall open(EngineRequest request) {
        requireUp();
        requests.add(request);
        Optional<String> currentIncarnation = Optional.of("i" + incarnation);
        InputStream body = answer.apply(request);
        return new UpstreamCall() {
            @Override
            public UpstreamResponse await() {
                return new UpstreamResponse(
                        200, "text/event-stream", Optional.of(request.weights().value()), currentIncarnation, body);
            }

            @Override
            public void abort() {
                cancelled.add("abort " + request.requestId());
            }
        };
    }

    @Override
    public void cancel(String requestId) {
        cancelled.add(requestId);
    }

    @Override
    public synchronized EngineState state() {
        requireUp();
        return new EngineState(
                "i" + incarnation,
                slots,
                0,
                0,
                memoryBytes,
                fence,
                loaded.stream()
                        .map(digest -> new EngineState.Loaded("m", "v", digest))
                        .toList(),
                staged.entrySet().stream()
                        .map(entry -> new EngineState.Staged(
                                WeightsDigest.of(entry.getKey()),
                                List.copyOf(entry.getValue().keySet())))
                        .toList());
    }

    @Override
    public synchronized String putChunk(WeightsDigest digest, int index, byte[] data) {
        requireUp();
        puts++;
        byte[] stored = data.clone();
        if (corruptNextPuts > 0) {
            corruptNextPuts--;
            stored[0] ^= 1;
        }
        staged.computeIfAbsent(digest.value(), key -> new TreeMap<>()).put(index, stored);
        return Sha256.hex(stored);
    }

    @Override
    public synchronized byte[] chunk(WeightsDigest digest, int index) {
        requireUp();
        return staged.getOrDefault(digest.value(), new TreeMap<>()).getOrDefault(index, new byte[0]);
    }

    @Override
    public synchronized void dropStaged(WeightsDigest digest) {
        requireUp();
        commands.add("drop");
        staged.remove(digest.value());
    }

    /** Loads the staged chunks without verifying them, so that corrupt chunks are not caught here. */
    @Override
    public synchronized CommandResult load(Manifest manifest, long token) {
        requireUp();
        beforeLoad.run();
        requireUp();
        commands.add("load");
        if (honoursFencing && token < fence) {
            return CommandResult.FENCE_REJECTED;
        }
        fence = Math.max(fence, token);
        TreeMap<Integer, byte[]> chunks = staged.getOrDefault(manifest.digest().value(), new TreeMap<>());
        if (chunks.size() < manifest.chunkCount()) {
            return CommandResult.INCOMPLETE;
        }
        loaded.add(Weights.of(List.copyOf(chunks.values())).manifest().digest());
        return CommandResult.DONE;
    }

    @Override
    public synchronized CommandResult unload(WeightsDigest digest, long token) {
        requireUp();
        commands.add("unload");
        if (honoursFencing && token < fence) {
            return CommandResult.FENCE_REJECTED;
        }
        fence = Math.max(fence, token);
        loaded.remove(digest);
        return CommandResult.DONE;
    }

    private void requireUp() {
        if (down) {
            throw MasticcroftException.of(ErrorCode.UPSTREAM_FAILED, Verdict.NOT_RUN, "connection refused");
        }
    }
}
