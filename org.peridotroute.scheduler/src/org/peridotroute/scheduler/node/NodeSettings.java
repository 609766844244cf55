package org.peridotroute.scheduler.node;

import org.peridotroute.scheduler.dispatch.DispatchSettings;

/**
 * What a VM needs to know. Times in milliseconds.
 *
 * @param vm name of the VM
 * @param incarnation name of this run of the process
 * @param dispatch times of the planner
 * @param followWaitMillis longest wait of a read for records
 * @param signWaitMillis longest wait of a read for signs of life: those of the planner and, on the
 *     configuration, of the log itself
 * @param followGapMillis shortest time between two reads of one topic by the planner, and of the
 *     configuration by all
 * @param showGapMillis shortest time between two reads of one topic by VMs that only show jobs
 * @param silenceMillis silence of the planner after which its role is claimed
 * @param claimDelayMillis further time that this VM leaves the role to others; above 0 where it has
 *     little processor time, so that a stronger VM plans if there is one
 * @param cutOffMillis silence of the log towards this VM after which callers are sent elsewhere;
 *     above the longest time between two answers, which is a wait, a gap and the answer's own time
 * @param requestMillis longest time that a caller's request waits for the log
 */
public record NodeSettings(
    String vm,
    String incarnation,
    DispatchSettings dispatch,
    long followWaitMillis,
    long signWaitMillis,
    long followGapMillis,
    long showGapMillis,
    long silenceMillis,
    long claimDelayMillis,
    long cutOffMillis,
    long requestMillis) {
  /** Starts settings with nothing set; every value has to be given. */
  public static Builder newBuilder() {
    return new Builder();
  }

  /** Builder of {@link NodeSettings}. Not safe for use by several threads. */
  public static final class Builder {
    private String vm;
    private String incarnation;
    private DispatchSettings dispatch;
    private long followWaitMillis;
    private long signWaitMillis;
    private long followGapMillis;
    private long showGapMillis;
    private long silenceMillis;
    private long claimDelayMillis;
    private long cutOffMillis;
    private long requestMillis;

    private Builder() {}

    /** Sets the name of the VM. */
    public Builder setVm(String value) {
      vm = value;
      return this;
    }

    /** Sets the name of this run of the process. */
    public Builder setIncarnation(String value) {
      incarnation = value;
      return this;
    }

    /** Sets the times of the planner. */
    public Builder setDispatch(DispatchSettings value) {
      dispatch = value;
      return this;
    }

    /** Sets the longest wait of a read for records. */
    public Builder setFollowWaitMillis(long value) {
      followWaitMillis = value;
      return this;
    }

    /**
     * Sets the longest wait of a read for signs of life: those of the planner and, on the
     * configuration, of the log itself.
     */
    public Builder setSignWaitMillis(long value) {
      signWaitMillis = value;
      return this;
    }

    /**
     * Sets the shortest time between two reads of one topic by the planner, and of the
     * configuration by all.
     */
    public Builder setFollowGapMillis(long value) {
      followGapMillis = value;
      return this;
    }

    /** Sets the shortest time between two reads of one topic by VMs that only show jobs. */
    public Builder setShowGapMillis(long value) {
      showGapMillis = value;
      return this;
    }

    /** Sets the silence of the planner after which its role is claimed. */
    public Builder setSilenceMillis(long value) {
      silenceMillis = value;
      return this;
    }

    /** Sets the further time that this VM leaves the role to others. */
    public Builder setClaimDelayMillis(long value) {
      claimDelayMillis = value;
      return this;
    }

    /** Sets the silence of the log towards this VM after which callers are sent elsewhere. */
    public Builder setCutOffMillis(long value) {
      cutOffMillis = value;
      return this;
    }

    /** Sets the longest time that a caller's request waits for the log. */
    public Builder setRequestMillis(long value) {
      requestMillis = value;
      return this;
    }

    /** Returns the settings. */
    public NodeSettings build() {
      return new NodeSettings(
          vm,
          incarnation,
          dispatch,
          followWaitMillis,
          signWaitMillis,
          followGapMillis,
          showGapMillis,
          silenceMillis,
          claimDelayMillis,
          cutOffMillis,
          requestMillis);
    }
  }
}
