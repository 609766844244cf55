package org.peridotroute.snapshot;

import org.peridotroute.lib.Checks;

/**
 * Part of a snapshot, small enough for one record.
 *
 * @param version version of the format, {@value #VERSION} at present
 * @param id the snapshot, the same for all its chunks
 * @param journalOffset offset up to which the journal is folded
 * @param configOffset offset up to which the configuration is folded
 * @param index number of this chunk, from 0
 * @param count number of chunks
 * @param sha256 digest of all chunks' data together
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
  /** The version that this code writes and reads. */
  public static final int VERSION = 1;

  /** Most bytes of a chunk's data. */
  public static final int MAX_DATA_BYTES = 96 * 1024;

  /** Most chunks of a snapshot. */
  public static final int MAX_COUNT = 4_096;

  /** Checks that the chunk is one of its snapshot. */
  public SnapshotChunk {
    Checks.range("chunk.count", count, 1, MAX_COUNT);
    Checks.range("chunk.index", index, 0, count - 1);
    Checks.present("chunk.data", data);
  }
}
