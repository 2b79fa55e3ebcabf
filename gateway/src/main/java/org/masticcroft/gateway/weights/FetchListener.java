package org.masticcroft.gateway.weights;

/** Receives the results of piece transfers. */
interface FetchListener {
    /** Source name of the origin; the source name of a peer is its IP address. */
    String ORIGIN = "origin";

    /** Called when a piece has arrived and its digest matches the manifest. */
    void fetched(int index, String source);

    /** Called when a source returned no piece, or a piece whose digest does not match. */
    void failed(int index, String source, boolean corrupt);
}
