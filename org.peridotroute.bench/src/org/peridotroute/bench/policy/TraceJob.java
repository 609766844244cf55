package org.peridotroute.bench.policy;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.peridotroute.lib.Adjacency;
import org.peridotroute.lib.JobClass;
import org.peridotroute.lib.JobKey;
import org.peridotroute.lib.JobSpec;
import org.peridotroute.lib.Shape;

/**
 * One job of a trace, as docs/TRACES.md describes it. The policy sees the declared run time alone.
 *
 * @param submitMillis when it is submitted, from the trace's beginning
 * @param organisation the owner
 * @param name its name
 * @param jobClass its class
 * @param members members of the gang
 * @param acceleratorsPerMember accelerators of each
 * @param adjacency how near they must be
 * @param idempotent whether a second run does no harm
 * @param checkpointable whether progress is kept when it is stopped
 * @param declaredRunMillis the run time its owner declares
 * @param trueRunMillis how long it really runs
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
