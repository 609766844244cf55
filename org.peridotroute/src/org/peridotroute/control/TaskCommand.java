package org.peridotroute.control;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import org.peridotroute.lib.JobKey;

/**
 * A command to a worker about one member of a gang.
 *
 * @param action what is asked
 * @param job the job
 * @param member the member's number, from 0
 * @param token the attempt's fencing token; a worker refuses one lower than it has seen for the
 *     same accelerators
 * @param lease id of the lease meant; with a start and a renewal alone
 * @param leaseMillis the lease, counted by the worker from receipt; 0 with a release
 * @param accelerators numbers of the accelerators; with a prepare, and with a release so that a
 *     worker can fence them whatever it has seen
 * @param payload what the task works on; with a prepare alone
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
