package org.peridotroute.scheduler.dispatch;

/**
 * Whether the leases of one worker may be extended. Once the log says that a worker is silent, a
 * successor of this planner relies on the end of its leases. They are extended again only after the
 * log says that the worker replies. Confined to the control thread.
 */
final class LeaseHold {
  private enum State {
    OPEN,
    HELD,
    RELEASING
  }

  private State state = State.OPEN;
  private long heldLeaseMillis;
  private int releases;

  /** Returns whether leases may be granted and extended. */
  boolean mayExtend() {
    return state == State.OPEN;
  }

  /** Returns whether the record of the worker has to say that it is silent. */
  boolean isHeld() {
    return state == State.HELD;
  }

  /**
   * Forbids extensions. The record that says so is to be stored.
   *
   * @param leaseMillis longest time from now that the leases of the worker last
   */
  void hold(long leaseMillis) {
    state = State.HELD;
    heldLeaseMillis = leaseMillis;
  }

  /** Returns the longest time that the leases lasted when extensions were forbidden. */
  long heldLeaseMillis() {
    return heldLeaseMillis;
  }

  /**
   * Begins to permit extensions. The record without the silence is to be stored.
   *
   * @return number of this release, for {@link #onReleaseStored}
   */
  int beginRelease() {
    state = State.RELEASING;
    return ++releases;
  }

  /**
   * Permits extensions, unless the worker has fallen silent again since the release began.
   *
   * @param release number of the release whose record is on the log
   */
  void onReleaseStored(int release) {
    if (state == State.RELEASING && release == releases) {
      state = State.OPEN;
    }
  }
}
