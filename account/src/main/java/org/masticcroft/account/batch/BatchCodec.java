package org.masticcroft.account.batch;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.masticcroft.account.record.AuditRecord;
import org.masticcroft.kernel.error.MasticcroftException;

/** Converts batches to and from log records: a line of JSON with the header, then the compressed payload. */
public final class BatchCodec {

    private static final byte LINE_FEED = '\n';
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .addModule(new Jdk8Module())
            .addModule(new JavaTimeModule())
            .disable(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS)
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private BatchCodec() {}

    /** Encodes a batch as a log record whose payload is compressed with zstd. */
    public static byte[] encode(Batch batch) {
        return encode(batch, PayloadCodec.zstd());
    }

    /** Encodes a batch as a log record. */
    public static byte[] encode(Batch batch, PayloadCodec codec) {
        byte[] header = headerLine(batch.header()).getBytes(StandardCharsets.UTF_8);
        byte[] payload = codec.compress(batch.payload());
        byte[] record = Arrays.copyOf(header, header.length + 1 + payload.length);
        record[header.length] = LINE_FEED;
        System.arraycopy(payload, 0, record, header.length + 1, payload.length);
        return record;
    }

    /**
     * Decodes a log record.
     *
     * @throws MasticcroftException with {@code INTERNAL} if the record is not a batch
     */
    public static Batch decode(byte[] record) {
        int end = indexOfLineFeed(record);
        BatchHeader header = parseHeader(new String(record, 0, end, StandardCharsets.UTF_8));
        byte[] compressed = Arrays.copyOfRange(record, end + 1, record.length);
        byte[] payload = PayloadCodec.of(compressed).decompress(compressed);
        return new Batch(header, lines(new String(payload, StandardCharsets.UTF_8)));
    }

    /** Returns the header as JSON on one line, without a line break. */
    public static String headerLine(BatchHeader header) {
        return toJson(header);
    }

    /**
     * Parses the line that {@link #headerLine} returns.
     *
     * @throws MasticcroftException with {@code INTERNAL} if the line is not a batch header
     */
    public static BatchHeader parseHeader(String line) {
        try {
            return MAPPER.readValue(line, BatchHeader.class);
        } catch (JsonProcessingException e) {
            throw PayloadCodec.malformed("the header is not a batch header", e);
        }
    }

    /** Returns a record as JSON on one line, without a line break. */
    public static String recordLine(AuditRecord record) {
        return toJson(record);
    }

    /**
     * Parses the line that {@link #recordLine} returns.
     *
     * @throws MasticcroftException with {@code INTERNAL} if the line is not an audit record
     */
    public static AuditRecord parseRecord(String line) {
        try {
            return MAPPER.readValue(line, AuditRecord.class);
        } catch (JsonProcessingException e) {
            throw PayloadCodec.malformed("the line is not an audit record", e);
        }
    }

    private static List<String> lines(String payload) {
        return payload.lines().toList();
    }

    private static String toJson(Object value) {
        try {
            return value instanceof AuditRecord
                    ? MAPPER.writerFor(AuditRecord.class).writeValueAsString(value)
                    : MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write " + value.getClass().getSimpleName() + " as JSON", e);
        }
    }

    private static int indexOfLineFeed(byte[] record) {
        for (int i = 0; i < record.length; i++) {
            if (record[i] == LINE_FEED) {
                return i;
            }
        }
        throw PayloadCodec.malformed("the header line is missing", null);
    }
}
