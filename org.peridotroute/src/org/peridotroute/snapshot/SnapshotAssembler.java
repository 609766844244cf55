package org.peridotroute.snapshot;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.peridotroute.lib.Digests;

/**
 * Puts snapshots together from their chunks, in any order, and keeps the newest whole one. Chunks
 * that are unreadable, of another version or of a snapshot that was never finished are passed over.
 * Used by one thread.
 */
public final class SnapshotAssembler {
  private final Map<String, SnapshotChunk[]> unfinished = new HashMap<>();
  private Snapshot newest;

  /**
   * Adds a chunk.
   *
   * @param text the chunk's text
   */
  public void add(String text) {
    try {
      SnapshotChunk chunk = SnapshotCodec.readChunk(text);
      if (chunk.version() == SnapshotChunk.VERSION) {
        add(chunk);
      }
    } catch (IOException | IllegalArgumentException e) {
      // An older whole snapshot, or the log from its beginning, serves as well.
    }
  }

  /** Returns the newest whole snapshot, empty if there is none. */
  public Optional<Snapshot> newest() {
    return Optional.ofNullable(newest);
  }

  private void add(SnapshotChunk chunk) throws IOException {
    if (newest != null && chunk.journalOffset() <= newest.jobs().offset()) {
      return;
    }
    SnapshotChunk[] chunks =
        unfinished.computeIfAbsent(chunk.id(), id -> new SnapshotChunk[chunk.count()]);
    if (chunk.index() >= chunks.length) {
      return;
    }
    chunks[chunk.index()] = chunk;
    for (SnapshotChunk one : chunks) {
      if (one == null) {
        return;
      }
    }
    unfinished.remove(chunk.id());
    finish(chunks);
  }

  private void finish(SnapshotChunk[] chunks) throws IOException {
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
