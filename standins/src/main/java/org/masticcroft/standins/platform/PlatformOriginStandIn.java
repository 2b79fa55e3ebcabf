package org.masticcroft.standins.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import org.masticcroft.standins.digest.Sha256;
import org.masticcroft.standins.fault.Faults;
import org.masticcroft.standins.http.Call;
import org.masticcroft.standins.http.Json;
import org.masticcroft.standins.http.StandInServer;

/**
 * HTTP stand-in of the origin of weights on the platform. The bytes of a piece are generated from its version and
 * index.
 */
public final class PlatformOriginStandIn implements AutoCloseable {
    private static final int PIECE_BYTES = 512;

    private final StandInServer server;
    private final int pieceCount;
    private final AtomicInteger piecesSent = new AtomicInteger();
    private volatile boolean down;
    private final AtomicInteger manifestsSent = new AtomicInteger();
    private volatile int corruptPiece = -1;
    private volatile int corruptManifestCount;

    private PlatformOriginStandIn(int pieceCount) {
        this.pieceCount = pieceCount;
        server = StandInServer.of(0, Faults.of(Map.of(), 1), Json::object)
                .route("GET", "/-/manifest/{model}", this::manifest)
                .route("GET", "/-/piece/{model}", this::piece);
    }

    /** Starts an origin whose versions have the given number of pieces. */
    public static PlatformOriginStandIn start(int pieceCount) {
        PlatformOriginStandIn origin = new PlatformOriginStandIn(pieceCount);
        origin.server.start();
        return origin;
    }

    public int port() {
        return server.port();
    }

    /** Returns the number of pieces sent so far. */
    public int piecesSent() {
        return piecesSent.get();
    }

    /** Returns the number of manifests sent so far. */
    public int manifestsSent() {
        return manifestsSent.get();
    }

    /** Puts a wrong digest of the first piece into the first {@code count} manifests that the origin sends. */
    public void corruptManifests(int count) {
        corruptManifestCount = count;
    }

    /** Sets whether the connections of all calls are dropped. */
    public void setDown(boolean isDown) {
        down = isDown;
    }

    /** Corrupts the given piece in each response; -1 corrupts none. */
    public void corruptPiece(int piece) {
        corruptPiece = piece;
    }

    /** Returns the bytes of a piece. */
    public static byte[] pieceOf(long version, int index) {
        byte[] data = new byte[PIECE_BYTES];
        new Random(version * 1000 + index).nextBytes(data);
        return data;
    }

    @Override
    public void close() {
        server.close();
    }

    private void manifest(Call call) throws IOException {
        if (down) {
            call.drop();
            return;
        }
        long version = call.queryNumber("version", 1);
        ObjectNode manifest = Json.object().put("model", call.path("model")).put("version", version);
        manifest.putArray("digests");
        boolean corrupt = manifestsSent.incrementAndGet() <= corruptManifestCount;
        for (int i = 0; i < pieceCount; i++) {
            byte[] digested = i == 0 && corrupt ? new byte[1] : pieceOf(version, i);
            manifest.withArray("digests").add(Sha256.hex(digested));
        }
        call.respond(200, manifest);
    }

    private void piece(Call call) throws IOException {
        if (down) {
            call.drop();
            return;
        }
        int index = (int) call.queryNumber("num", -1);
        byte[] data = pieceOf(call.queryNumber("version", 1), index);
        if (index == corruptPiece) {
            data[0] ^= 1;
        }
        piecesSent.incrementAndGet();
        call.respond(200, data);
    }
}
