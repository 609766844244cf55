package org.peridotroute.snapshot;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.peridotroute.lib.Digests;

/**
 * Assembles snapshots from chunks in any order and keeps the newest complete one. Ignores chunks
 * that cannot be parsed, have another version or belong to an incomplete snapshot. Not thread-safe.
 */
public final class SnapshotAssembler {
  private final Map<String, SnapshotChunk[]> incomplete = new HashMap<>();
  private Snapshot newest;

  /**
   * Adds a chunk.
   *
   * @param text the encoded chunk
   */
  public void add(String text) {
    try {
      SnapshotChunk chunk = SnapshotCodec.decodeChunk(text);
      if (chunk.version() == SnapshotChunk.VERSION) {
        add(chunk);
      }
    } catch (IOException | IllegalArgumentException e) {
      // The caller falls back to an older complete snapshot or to the log from its beginning.
    }
  }

  /** Returns the newest complete snapshot, or empty if there is none. */
  public Optional<Snapshot> newest() {
    return Optional.ofNullable(newest);
  }

  private void add(SnapshotChunk chunk) throws IOException {
    if (newest != null && chunk.journalOffset() <= newest.jobs().offset()) {
      return;
    }
    SnapshotChunk[] chunks =
        incomplete.computeIfAbsent(chunk.id(), id -> new SnapshotChunk[chunk.count()]);
    if (chunk.index() >= chunks.length) {
      return;
    }
    chunks[chunk.index()] = chunk;
    for (SnapshotChunk received : chunks) {
      if (received == null) {
        return;
      }
    }
    incomplete.remove(chunk.id());
    assemble(chunks);
  }

  private void assemble(SnapshotChunk[] chunks) throws IOException {
    ByteArrayOutputStream document = new ByteArrayOutputStream();
    for (SnapshotChunk chunk : chunks) {
      document.write(Base64.getDecoder().decode(chunk.data()));
    }
    byte[] bytes = document.toByteArray();
    if (Digests.sha256(bytes).equals(chunks[0].sha256())) {
      newest = SnapshotCodec.decode(bytes);
    }
  }
}
