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

/** The origin of weights on the platform. The bytes of a piece follow from its version and number. */
public final class PlatformOriginStandIn implements AutoCloseable {
    private static final int PIECE_BYTES = 512;

    private final StandInServer server;
    private final int pieces;
    private final AtomicInteger sent = new AtomicInteger();
    private volatile boolean down;
    private final AtomicInteger manifests = new AtomicInteger();
    private volatile int spoiledPiece = -1;
    private volatile int spoiledManifests;

    private PlatformOriginStandIn(int pieces) {
        this.pieces = pieces;
        server = StandInServer.of(0, Faults.of(Map.of(), 1), Json::object)
                .route("GET", "/-/manifest/{model}", this::manifest)
                .route("GET", "/-/piece/{model}", this::piece);
    }

    /** Starts an origin whose versions have the given number of pieces. */
    public static PlatformOriginStandIn start(int pieces) {
        PlatformOriginStandIn origin = new PlatformOriginStandIn(pieces);
        origin.server.start();
        return origin;
    }

    public int port() {
        return server.port();
    }

    /** Returns the number of pieces sent so far. */
    public int piecesSent() {
        return sent.get();
    }

    /** Returns the number of manifests sent so far. */
    public int manifestsSent() {
        return manifests.get();
    }

    /** States a wrong digest of the first piece in the next manifests. */
    public void corruptManifests(int count) {
        spoiledManifests = count;
    }

    /** Drops all calls, or answers them again. */
    public void setDown(boolean isDown) {
        down = isDown;
    }

    /** Spoils each answer with the given piece; -1 spoils none. */
    public void corruptPiece(int piece) {
        spoiledPiece = piece;
    }

    /** Returns the bytes of a piece. */
    public static byte[] pieceOf(long version, int number) {
        byte[] data = new byte[PIECE_BYTES];
        new Random(version * 1000 + number).nextBytes(data);
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
        boolean spoiled = manifests.incrementAndGet() <= spoiledManifests;
        for (int i = 0; i < pieces; i++) {
            byte[] digested = i == 0 && spoiled ? new byte[1] : pieceOf(version, i);
            manifest.withArray("digests").add(Sha256.hex(digested));
        }
        call.respond(200, manifest);
    }

    private void piece(Call call) throws IOException {
        if (down) {
            call.drop();
            return;
        }
        int number = (int) call.queryNumber("num", -1);
        byte[] data = pieceOf(call.queryNumber("version", 1), number);
        if (number == spoiledPiece) {
            data[0] ^= 1;
        }
        sent.incrementAndGet();
        call.respond(200, data);
    }
}
