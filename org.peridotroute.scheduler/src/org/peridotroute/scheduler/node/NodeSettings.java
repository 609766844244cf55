package org.peridotroute.scheduler.node;

import org.peridotroute.scheduler.dispatch.DispatchSettings;

/**
 * What a VM needs to know. Times in milliseconds.
 *
 * @param vm name of the VM
 * @param incarnation name of this run of the process
 * @param dispatch times of the planner
 * @param followWaitMillis longest wait of a read for records
 * @param followGapMillis shortest time between two reads of one topic by the planner, and of the
 *     configuration by all
 * @param showGapMillis shortest time between two reads of one topic by VMs that only show jobs
 * @param silenceMillis silence of the planner after which its role is claimed
 * @param staleMillis age of what was read after which an unknown job is not denied
 * @param requestMillis longest time that a caller's request waits for the log
 */
public record NodeSettings(
    String vm,
    String incarnation,
    DispatchSettings dispatch,
    long followWaitMillis,
    long followGapMillis,
    long showGapMillis,
    long silenceMillis,
    long staleMillis,
    long requestMillis) {}
