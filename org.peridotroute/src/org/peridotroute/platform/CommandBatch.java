package org.peridotroute.platform;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.peridotroute.control.TaskAction;
import org.peridotroute.control.TaskCommand;
import org.peridotroute.lib.JobKey;

/**
 * Wire format of commands to one worker. Fields shared by the members of a gang are sent once.
 *
 * @param gangs the commands, grouped by gang and action
 */
public record CommandBatch(List<GangCommand> gangs) {
  /** Makes a defensive copy of the list. */
  public CommandBatch {
    gangs = List.copyOf(gangs);
  }

  /**
   * One action for members of one gang.
   *
   * @param action the requested action
   * @param job key of the job
   * @param token fencing token of the attempt
   * @param leaseMillis duration of the lease in milliseconds
   * @param payload payload of the job; only set to prepare a task
   * @param members the members concerned
   */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  public record GangCommand(
      TaskAction action,
      JobKey job,
      long token,
      long leaseMillis,
      String payload,
      List<MemberCommand> members) {}

  /**
   * Fields of a command that differ between members.
   *
   * @param member index of the member, from 0
   * @param lease id of the lease; only set to start a task or renew its lease
   * @param accelerators indices of the accelerators; only set to prepare or release a task
   */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  public record MemberCommand(int member, String lease, List<Integer> accelerators) {}

  /**
   * Groups commands by gang and action.
   *
   * @param commands the commands, with at most one per task
   * @return the batch, with gangs in the order of their first commands
   */
  public static CommandBatch of(List<TaskCommand> commands) {
    Map<List<Object>, GangCommand> byGang = new LinkedHashMap<>();
    for (TaskCommand command : commands) {
      byGang
          .computeIfAbsent(
              List.of(command.action(), command.job(), command.token()),
              key ->
                  new GangCommand(
                      command.action(),
                      command.job(),
                      command.token(),
                      command.leaseMillis(),
                      command.payload(),
                      new ArrayList<>()))
          .members()
          .add(new MemberCommand(command.member(), command.lease(), command.accelerators()));
    }
    return new CommandBatch(List.copyOf(byGang.values()));
  }

  /** Returns the commands for the individual members. */
  public List<TaskCommand> commands() {
    List<TaskCommand> commands = new ArrayList<>();
    for (GangCommand gang : gangs) {
      for (MemberCommand member : gang.members()) {
        commands.add(
            new TaskCommand(
                gang.action(),
                gang.job(),
                member.member(),
                gang.token(),
                member.lease(),
                gang.leaseMillis(),
                member.accelerators(),
                gang.payload()));
      }
    }
    return commands;
  }
}
