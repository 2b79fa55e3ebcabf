package org.masticcroft.gateway.weights;

/** Learns how the transfers of pieces end. */
interface FetchListener {
    /** Name of the origin as a source; peers are named by their IP address. */
    String ORIGIN = "origin";

    /** Is called when a piece arrived and its digest is right. */
    void fetched(int piece, String source);

    /** Is called when a source gave no piece, or a piece with a wrong digest. */
    void failed(int piece, String source, boolean corrupt);
}
