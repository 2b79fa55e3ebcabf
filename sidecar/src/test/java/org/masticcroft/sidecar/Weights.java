package org.masticcroft.sidecar;

import java.util.List;
import java.util.stream.IntStream;
import org.masticcroft.ports.weights.Manifest;
import org.masticcroft.ports.weights.Sha256;

/** Small weights for tests, with chunks of four bytes. */
public record Weights(Manifest manifest, List<byte[]> chunks) {
    public static Weights of(List<byte[]> chunks) {
        Manifest manifest = new Manifest(
                "m",
                "v",
                4L * chunks.size(),
                4,
                chunks.stream().map(Sha256::hex).toList());
        return new Weights(manifest, chunks);
    }

    public static Weights generate(String version, int count) {
        List<byte[]> chunks = IntStream.range(0, count)
                .mapToObj(i -> new byte[] {(byte) version.hashCode(), (byte) i, 7, 7})
                .toList();
        Manifest manifest = of(chunks).manifest();
        return new Weights(
                new Manifest("m", version, manifest.size(), manifest.chunkSize(), manifest.chunks()), chunks);
    }
}
