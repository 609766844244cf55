package org.peridotroute.bench.policy;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.peridotroute.lib.Adjacency;
import org.peridotroute.lib.JobClass;
import org.peridotroute.lib.JobKey;
import org.peridotroute.lib.JobSpec;
import org.peridotroute.lib.Shape;

/**
 * One job of a trace, in the format of docs/TRACES.md. The policy sees only the declared run time.
 *
 * @param submitMillis submission time since the beginning of the trace
 * @param organisation id of the owner
 * @param name name of the job within its organisation
 * @param jobClass class of the job
 * @param members number of members of the gang
 * @param acceleratorsPerMember number of accelerators of each member
 * @param adjacency required proximity of the members
 * @param idempotent whether the job may safely run more than once
 * @param checkpointable whether progress is kept when the job is preempted
 * @param declaredRunMillis run time that the owner declares
 * @param trueRunMillis actual run time
 */
public record TraceJob(
    long submitMillis,
    String organisation,
    String name,
    @JsonProperty("class") JobClass jobClass,
    int members,
    int acceleratorsPerMember,
    Adjacency adjacency,
    boolean idempotent,
    boolean checkpointable,
    long declaredRunMillis,
    long trueRunMillis) {
  JobKey key() {
    return JobKey.of(organisation, name);
  }

  int accelerators() {
    return members * acceleratorsPerMember;
  }

  JobSpec spec() {
    return JobSpec.newBuilder(new Shape(members, acceleratorsPerMember, adjacency))
        .setJobClass(jobClass)
        .setIdempotent(idempotent)
        .setCheckpointable(checkpointable)
        .setDeclaredRunMillis(declaredRunMillis)
        .build();
  }
}
