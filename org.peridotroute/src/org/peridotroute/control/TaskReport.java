package org.peridotroute.control;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonInclude;
import org.peridotroute.lib.Answer;

/**
 * A worker's reply to a command.
 *
 * @param state the task's state
 * @param token the fencing token that the reply refers to; a reply for another token is ignored
 * @param member index of the member that the reply refers to
 * @param lease id of the lease granted by the worker, unique per lease; set only with {@link
 *     TaskState#PREPARED}, otherwise null
 * @param output output of the task; set only with {@link TaskState#SUCCEEDED}, otherwise null
 * @param reason description of the failure, or null
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record TaskReport(
    TaskState state, long token, int member, String lease, Answer output, String reason) {
  /**
   * Creates a report that carries only a state.
   *
   * @param state the state
   * @param command the command that the report replies to
   * @return the report
   */
  public static TaskReport of(TaskState state, TaskCommand command) {
    return new TaskReport(state, command.token(), command.member(), null, null, null);
  }

  /**
   * Returns whether the report is a complete reply to a command.
   *
   * @param command the command
   * @return false if the token or member differs, or if a field required by the state is missing
   */
  @JsonIgnore
  public boolean isReplyTo(TaskCommand command) {
    if (state == null || token != command.token() || member != command.member()) {
      return false;
    }
    if (state == TaskState.PREPARED && lease == null) {
      return false;
    }
    return state != TaskState.SUCCEEDED || (output != null && output.isIntact());
  }
}
