package org.peridotroute.scheduler.dispatch;

/**
 * Parameters of a start in addition to the identity of the run.
 *
 * @param payload the payload of the job
 * @param checkpoint saved progress, empty for none
 * @param priority priority of the job; urgent starts are sent first
 */
record StartParameters(String payload, String checkpoint, int priority) {}
