package org.peridotroute.scheduler.node;

import org.peridotroute.scheduler.dispatch.DispatchSettings;

/**
 * Settings of a VM of the scheduler. Times in milliseconds.
 *
 * @param vm name of the VM
 * @param incarnation name of this run of the process
 * @param dispatch settings of the planner
 * @param readWaitMillis longest time that the log may hold a read of the requests or the workers
 *     while there are no new records
 * @param heartbeatWaitMillis longest time that the log may hold a read of the configuration. Each
 *     reply shows that the log is reachable.
 * @param plannerReadIntervalMillis shortest time between two reads of a topic by the planner, and
 *     of the configuration by every VM
 * @param followerReadIntervalMillis shortest time between two reads of the requests by VMs that do
 *     not plan
 * @param progressWaitMillis longest time that the log may hold a read of the progress, which
 *     carries the planner's heartbeats
 * @param progressReadIntervalMillis shortest time between two reads of the progress by a VM that
 *     does not plan
 * @param plannerTimeoutMillis time without a heartbeat of the planner after which its role is
 *     claimed
 * @param claimDelayMillis time that this VM waits beyond the timeout before it claims the role;
 *     above 0 where the VM has little processor time, so that a faster VM plans if there is one
 * @param logTimeoutMillis time without a reply of the log to this VM after which the VM is not
 *     ready and callers are sent elsewhere; above the longest time between two replies, which is a
 *     wait for heartbeats, a read interval and the duration of the read itself
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
    long progressWaitMillis,
    long progressReadIntervalMillis,
    long plannerTimeoutMillis,
    long claimDelayMillis,
    long logTimeoutMillis,
    long requestTimeoutMillis) {
  /** Returns a builder without defaults; every value has to be set. */
  public static Builder newBuilder() {
    return new Builder();
  }

  /** Builder of {@link SchedulerVmSettings}. Not thread-safe. */
  public static final class Builder {
    private String vm;
    private String incarnation;
    private DispatchSettings dispatch;
    private long readWaitMillis;
    private long heartbeatWaitMillis;
    private long plannerReadIntervalMillis;
    private long followerReadIntervalMillis;
    private long progressWaitMillis;
    private long progressReadIntervalMillis;
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

    /** Sets the settings of the planner. */
    public Builder setDispatch(DispatchSettings value) {
      dispatch = value;
      return this;
    }

    /** Sets the longest wait of a read of the requests or the workers. */
    public Builder setReadWaitMillis(long value) {
      readWaitMillis = value;
      return this;
    }

    /** Sets the longest wait of a read of the configuration. */
    public Builder setHeartbeatWaitMillis(long value) {
      heartbeatWaitMillis = value;
      return this;
    }

    /**
     * Sets the shortest time between two reads of a topic by the planner, and of the configuration
     * by every VM.
     */
    public Builder setPlannerReadIntervalMillis(long value) {
      plannerReadIntervalMillis = value;
      return this;
    }

    /** Sets the longest wait of a read of the progress. */
    public Builder setProgressWaitMillis(long value) {
      progressWaitMillis = value;
      return this;
    }

    /** Sets the shortest time between two reads of the progress by a VM that does not plan. */
    public Builder setProgressReadIntervalMillis(long value) {
      progressReadIntervalMillis = value;
      return this;
    }

    /** Sets the shortest time between two reads of the requests by VMs that do not plan. */
    public Builder setFollowerReadIntervalMillis(long value) {
      followerReadIntervalMillis = value;
      return this;
    }

    /** Sets the time without a heartbeat of the planner after which its role is claimed. */
    public Builder setPlannerTimeoutMillis(long value) {
      plannerTimeoutMillis = value;
      return this;
    }

    /** Sets the time that this VM waits beyond the timeout before it claims the role. */
    public Builder setClaimDelayMillis(long value) {
      claimDelayMillis = value;
      return this;
    }

    /** Sets the time without a reply of the log after which this VM is not ready. */
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
          progressWaitMillis,
          progressReadIntervalMillis,
          plannerTimeoutMillis,
          claimDelayMillis,
          logTimeoutMillis,
          requestTimeoutMillis);
    }
  }
}
