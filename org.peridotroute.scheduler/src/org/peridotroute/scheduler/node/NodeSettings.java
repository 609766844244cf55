package org.peridotroute.scheduler.node;

import org.peridotroute.scheduler.dispatch.DispatchSettings;

/**
 * What a VM needs to know. Times in milliseconds.
 *
 * @param vm name of the VM
 * @param incarnation name of this run of the process
 * @param dispatch times of the planner
 * @param followWaitMillis longest wait of a read for records
 * @param signWaitMillis longest wait of a read for the planner's records, which come more often
 * @param followGapMillis shortest time between two reads of one topic by the planner, and of the
 *     configuration by all
 * @param showGapMillis shortest time between two reads of one topic by VMs that only show jobs
 * @param silenceMillis silence of the planner after which its role is claimed
 * @param cutOffMillis silence of the log towards this VM after which callers are sent elsewhere;
 *     above the longest time between two answers, which is a wait, a gap and the answer's own time
 * @param staleMillis age of what was read after which an unknown job is not denied
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
    long cutOffMillis,
    long staleMillis,
    long requestMillis) {}
