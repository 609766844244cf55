package org.peridotroute.control;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import org.peridotroute.lib.JobKey;

/**
 * A command to a worker about one member of a gang.
 *
 * @param action the requested action
 * @param job the job
 * @param member index of the member, from 0
 * @param token the attempt's fencing token; a worker refuses a token lower than the highest it has
 *     seen for the same accelerators
 * @param lease id of the lease; set only for a start or a renewal, otherwise null
 * @param leaseMillis duration of the lease, counted by the worker from receipt; 0 for a release
 * @param accelerators indices of the accelerators; set for a prepare, and for a release so that a
 *     worker can fence them even if it has not seen the prepare; otherwise null
 * @param payload input of the task; set only for a prepare, otherwise null
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record TaskCommand(
    TaskAction action,
    JobKey job,
    int member,
    long token,
    String lease,
    long leaseMillis,
    List<Integer> accelerators,
    String payload) {}
