package org.masticcroft.gateway.weights;

import java.util.Optional;
import java.util.function.Consumer;
import org.masticcroft.gateway.http.Address;

/** Client of the origin and of the other sidecars. An empty reply means that the source returned no manifest. */
public interface WeightsSources {
    /** Reads the manifest of a version from the origin. */
    void manifestFromOrigin(Address origin, String model, long version, Consumer<Optional<Manifest>> reply);

    /** Reads a piece from the origin. */
    void pieceFromOrigin(Address origin, String model, long version, int piece, Consumer<PieceReply> reply);

    /** Reads the manifest of a version from another sidecar. */
    void manifestFromPeer(Address peer, String model, long version, Consumer<Optional<Manifest>> reply);

    /** Reads a piece from another sidecar. */
    void pieceFromPeer(Address peer, String model, long version, int piece, Consumer<PieceReply> reply);
}
