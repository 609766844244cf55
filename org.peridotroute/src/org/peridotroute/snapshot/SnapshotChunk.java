package org.peridotroute.snapshot;

import org.peridotroute.lib.Checks;

/**
 * Part of a snapshot, small enough for one log record.
 *
 * @param version version of the format, currently {@value #VERSION}
 * @param id id of the snapshot, the same in all its chunks
 * @param journalOffset offset of the last journal record in the snapshot
 * @param configOffset offset of the last configuration record in the snapshot
 * @param index index of this chunk, from 0
 * @param count number of chunks of the snapshot
 * @param sha256 lower-case hexadecimal SHA-256 of the whole compressed document
 * @param data part of the compressed document, in Base64
 */
public record SnapshotChunk(
    int version,
    String id,
    long journalOffset,
    long configOffset,
    int index,
    int count,
    String sha256,
    String data) {
  /** Version written by this code, and the only one it can read. */
  public static final int VERSION = 1;

  /** Maximum size of a chunk's data in bytes, before Base64 encoding. */
  public static final int MAX_DATA_BYTES = 96 * 1024;

  /** Maximum number of chunks per snapshot. */
  public static final int MAX_COUNT = 4_096;

  /** Validates the chunk count, the index and the presence of data. */
  public SnapshotChunk {
    Checks.range("chunk.count", count, 1, MAX_COUNT);
    Checks.range("chunk.index", index, 0, count - 1);
    Checks.present("chunk.data", data);
  }
}
