package org.peridotroute.snapshot;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import org.peridotroute.lib.Digests;

/** Encodes snapshots as compressed JSON documents and chunks, and decodes them. Stateless. */
public final class SnapshotCodec {
  private static final ObjectMapper MAPPER = JsonMapper.builder().build();

  private SnapshotCodec() {}

  /**
   * Encodes a snapshot.
   *
   * @param snapshot the snapshot
   * @return the compressed document
   */
  public static byte[] encode(Snapshot snapshot) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (GZIPOutputStream compressed = new GZIPOutputStream(bytes)) {
      MAPPER.writeValue(compressed, SnapshotDocument.of(snapshot));
    } catch (IOException e) {
      throw new IllegalStateException("cannot encode a snapshot as JSON", e);
    }
    return bytes.toByteArray();
  }

  /**
   * Decodes a snapshot.
   *
   * @param document the compressed document
   * @return the snapshot
   * @throws IOException if the document is truncated or is not a snapshot
   */
  public static Snapshot decode(byte[] document) throws IOException {
    try (GZIPInputStream decompressed = new GZIPInputStream(new ByteArrayInputStream(document))) {
      return MAPPER.readValue(decompressed, SnapshotDocument.class).toSnapshot();
    }
  }

  /**
   * Encodes a snapshot and splits it into chunks.
   *
   * @param id unique id of the snapshot
   * @param snapshot the snapshot
   * @param maxDataBytes maximum size of a chunk's data in bytes, before Base64 encoding
   * @return the encoded chunks, one line of JSON each
   */
  public static List<String> split(String id, Snapshot snapshot, int maxDataBytes) {
    byte[] document = encode(snapshot);
    int count = (document.length + maxDataBytes - 1) / maxDataBytes;
    String digest = Digests.sha256(document);
    List<String> chunks = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      int end = Math.min(document.length, (i + 1) * maxDataBytes);
      SnapshotChunk chunk =
          new SnapshotChunk(
              SnapshotChunk.VERSION,
              id,
              snapshot.jobs().offset(),
              snapshot.config().offset(),
              i,
              count,
              digest,
              Base64.getEncoder()
                  .encodeToString(Arrays.copyOfRange(document, i * maxDataBytes, end)));
      chunks.add(encodeChunk(chunk));
    }
    return chunks;
  }

  static SnapshotChunk decodeChunk(String text) throws IOException {
    return MAPPER.readValue(text, SnapshotChunk.class);
  }

  private static String encodeChunk(SnapshotChunk chunk) {
    try {
      return MAPPER.writeValueAsString(chunk);
    } catch (IOException e) {
      throw new IllegalStateException("cannot encode a snapshot chunk as JSON", e);
    }
  }
}
