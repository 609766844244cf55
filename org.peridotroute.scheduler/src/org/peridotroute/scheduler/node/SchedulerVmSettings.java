package org.peridotroute.scheduler.node;

import org.peridotroute.scheduler.dispatch.DispatchSettings;

/**
 * What a VM needs to know. Times in milliseconds.
 *
 * @param vm name of the VM
 * @param incarnation name of this run of the process
 * @param dispatch times of the planner
 * @param readWaitMillis longest wait of a read for records
 * @param heartbeatWaitMillis longest wait of a read for signs of life: those of the planner and, on
 *     the configuration, of the log itself
 * @param plannerReadIntervalMillis shortest time between two reads of one topic by the planner, and
 *     of the configuration by all
 * @param followerReadIntervalMillis shortest time between two reads of one topic by VMs that only
 *     show jobs
 * @param plannerTimeoutMillis silence of the planner after which its role is claimed
 * @param claimDelayMillis further time that this VM leaves the role to others; above 0 where it has
 *     little processor time, so that a stronger VM plans if there is one
 * @param logTimeoutMillis silence of the log towards this VM after which callers are sent
 *     elsewhere; above the longest time between two answers, which is a wait, a gap and the
 *     answer's own time
 * @param requestTimeoutMillis longest time that a caller's request waits for the log
 */
public record SchedulerVmSettings(
    String vm,
    String incarnation,
    DispatchSettings dispatch,
    long readWaitMillis,
    long heartbeatWaitMillis,
    long plannerReadIntervalMillis,
    long followerReadIntervalMillis,
    long plannerTimeoutMillis,
    long claimDelayMillis,
    long logTimeoutMillis,
    long requestTimeoutMillis) {
  /** Starts settings with nothing set; every value has to be given. */
  public static Builder newBuilder() {
    return new Builder();
  }

  /** Builder of {@link SchedulerVmSettings}. Not safe for use by several threads. */
  public static final class Builder {
    private String vm;
    private String incarnation;
    private DispatchSettings dispatch;
    private long readWaitMillis;
    private long heartbeatWaitMillis;
    private long plannerReadIntervalMillis;
    private long followerReadIntervalMillis;
    private long plannerTimeoutMillis;
    private long claimDelayMillis;
    private long logTimeoutMillis;
    private long requestTimeoutMillis;

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
    public Builder setReadWaitMillis(long value) {
      readWaitMillis = value;
      return this;
    }

    /**
     * Sets the longest wait of a read for signs of life: those of the planner and, on the
     * configuration, of the log itself.
     */
    public Builder setHeartbeatWaitMillis(long value) {
      heartbeatWaitMillis = value;
      return this;
    }

    /**
     * Sets the shortest time between two reads of one topic by the planner, and of the
     * configuration by all.
     */
    public Builder setPlannerReadIntervalMillis(long value) {
      plannerReadIntervalMillis = value;
      return this;
    }

    /** Sets the shortest time between two reads of one topic by VMs that only show jobs. */
    public Builder setFollowerReadIntervalMillis(long value) {
      followerReadIntervalMillis = value;
      return this;
    }

    /** Sets the silence of the planner after which its role is claimed. */
    public Builder setPlannerTimeoutMillis(long value) {
      plannerTimeoutMillis = value;
      return this;
    }

    /** Sets the further time that this VM leaves the role to others. */
    public Builder setClaimDelayMillis(long value) {
      claimDelayMillis = value;
      return this;
    }

    /** Sets the silence of the log towards this VM after which callers are sent elsewhere. */
    public Builder setLogTimeoutMillis(long value) {
      logTimeoutMillis = value;
      return this;
    }

    /** Sets the longest time that a caller's request waits for the log. */
    public Builder setRequestTimeoutMillis(long value) {
      requestTimeoutMillis = value;
      return this;
    }

    /** Returns the settings. */
    public SchedulerVmSettings build() {
      return new SchedulerVmSettings(
          vm,
          incarnation,
          dispatch,
          readWaitMillis,
          heartbeatWaitMillis,
          plannerReadIntervalMillis,
          followerReadIntervalMillis,
          plannerTimeoutMillis,
          claimDelayMillis,
          logTimeoutMillis,
          requestTimeoutMillis);
    }
  }
}
