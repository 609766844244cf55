package org.peridotroute.scheduler.load;

/**
 * Load of one queue.
 *
 * @param queue name of the queue
 * @param waitMillis lower bound of the time until a further job of the queue can start, if it
 *     starts after all waiting work of its own and of more urgent priorities
 * @param taskMillis expected duration of a task of the queue
 * @param medianAcceleratorMillis median of the accelerator time that its waiting jobs need
 * @param waitingJobs number of jobs with waiting tasks
 */
public record QueueLoad(
    String queue,
    long waitMillis,
    long taskMillis,
    long medianAcceleratorMillis,
    int waitingJobs) {}
