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
 * Commands to one worker as they travel: what the members of a gang have in common is said once.
 *
 * @param gangs the commands by gang and action
 */
public record CommandBatch(List<GangCommand> gangs) {
  /** Copies the list. */
  public CommandBatch {
    gangs = List.copyOf(gangs);
  }

  /**
   * One action for members of one gang.
   *
   * @param action what is asked
   * @param job the job
   * @param token the attempt's fencing token
   * @param leaseMillis the lease
   * @param payload what the tasks work on; with a prepare alone
   * @param members the members
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
   * What differs between members.
   *
   * @param member the member's number
   * @param lease id of the lease meant; with a start and a renewal alone
   * @param accelerators numbers of the accelerators; with a prepare and a release alone
   */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  public record MemberCommand(int member, String lease, List<Integer> accelerators) {}

  /**
   * Packs commands, which must not hold one for the same task twice.
   *
   * @param commands the commands
   * @return the batch; the order between gangs is that of their first commands
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

  /** Returns the commands one by one. */
  public List<TaskCommand> commands() {
    List<TaskCommand> commands = new ArrayList<>();
    for (GangCommand gang : gangs) {
      for (MemberCommand one : gang.members()) {
        commands.add(
            new TaskCommand(
                gang.action(),
                gang.job(),
                one.member(),
                gang.token(),
                one.lease(),
                gang.leaseMillis(),
                one.accelerators(),
                gang.payload()));
      }
    }
    return commands;
  }
}
