package org.peridotroute.control;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonInclude;
import org.peridotroute.lib.Answer;

/**
 * A worker's answer to a command.
 *
 * @param state the task's state
 * @param token the token the answer is about; an answer about another is no answer
 * @param member the member the answer is about
 * @param lease id of the lease that the worker gave, another with each lease; with {@link
 *     TaskState#PREPARED} alone
 * @param output what the task wrote; with {@link TaskState#SUCCEEDED} alone
 * @param reason what went wrong, null where nothing did
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record TaskReport(
    TaskState state, long token, int member, String lease, Answer output, String reason) {
  /**
   * Makes a report that carries only a state.
   *
   * @param state the state
   * @param command the command that is answered
   * @return the report
   */
  public static TaskReport of(TaskState state, TaskCommand command) {
    return new TaskReport(state, command.token(), command.member(), null, null, null);
  }

  /**
   * Returns whether the report belongs to a command and is whole.
   *
   * @param command the command
   * @return whether it may be used
   */
  @JsonIgnore
  public boolean answers(TaskCommand command) {
    if (state == null || token != command.token() || member != command.member()) {
      return false;
    }
    if (state == TaskState.PREPARED && lease == null) {
      return false;
    }
    return state != TaskState.SUCCEEDED || (output != null && output.isIntact());
  }
}
