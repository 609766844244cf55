package org.peridotroute.control;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.peridotroute.lib.JobKey;
import org.peridotroute.lib.VmId;

/**
 * Rendezvous (highest random weight) hashing, after Thaler and Ravishankar, 1996. Every VM selects
 * the same driver for a gang without communication, and the removal of a VM reassigns only the
 * gangs that it drove.
 */
public final class RendezvousHashing {
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;
  private static final long MIX_FIRST = 0xff51afd7ed558ccdL;
  private static final long MIX_SECOND = 0xc4ceb9fe1a85ec53L;
  private static final int MIX_SHIFT = 33;

  private RendezvousHashing() {}

  /**
   * Selects the driver of a gang.
   *
   * @param job the gang's job
   * @param candidates VMs that can drive gangs
   * @return the VM with the highest weight, or empty if there are no candidates
   */
  public static Optional<VmId> select(JobKey job, Collection<VmId> candidates) {
    return candidates.stream()
        .max(
            Comparator.comparingLong((VmId vm) -> weight(job, vm))
                .thenComparing(Comparator.naturalOrder()));
  }

  private static long weight(JobKey job, VmId vm) {
    long hash = FNV_OFFSET;
    String text = job + "@" + vm;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * FNV_PRIME;
    }
    hash = (hash ^ (hash >>> MIX_SHIFT)) * MIX_FIRST;
    hash = (hash ^ (hash >>> MIX_SHIFT)) * MIX_SECOND;
    return hash ^ (hash >>> MIX_SHIFT);
  }
}
