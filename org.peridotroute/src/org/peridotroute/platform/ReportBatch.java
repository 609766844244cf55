package org.peridotroute.platform;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.peridotroute.control.TaskReport;
import org.peridotroute.control.TaskState;
import org.peridotroute.lib.Answer;

/**
 * A worker's answers as they travel: members of a gang that are in the same state, and have nothing
 * else to tell, are named by number.
 *
 * @param gangs the answers by gang and state
 */
public record ReportBatch(List<GangReport> gangs) {
  /** Copies the list. */
  public ReportBatch {
    gangs = List.copyOf(gangs);
  }

  /**
   * Members of one gang in one state.
   *
   * @param token the token that the answers are about
   * @param state their state
   * @param members their numbers
   * @param details what each has to tell, in the order of the numbers; absent where none has
   */
  @JsonInclude(JsonInclude.Include.NON_EMPTY)
  public record GangReport(
      long token, TaskState state, List<Integer> members, List<Detail> details) {}

  /**
   * What a member has to tell.
   *
   * @param lease id of the lease that the worker gave
   * @param output what the task wrote
   * @param reason what went wrong
   */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  public record Detail(String lease, Answer output, String reason) {
    private static final Detail NONE = new Detail(null, null, null);

    private static Detail of(TaskReport report) {
      return new Detail(report.lease(), report.output(), report.reason());
    }
  }

  /**
   * Packs answers.
   *
   * @param reports the answers
   * @return the batch
   */
  public static ReportBatch of(List<TaskReport> reports) {
    Map<List<Object>, GangReport> byState = new LinkedHashMap<>();
    for (TaskReport report : reports) {
      Detail detail = Detail.of(report);
      GangReport gang =
          byState.computeIfAbsent(
              List.of(report.token(), report.state(), detail.equals(Detail.NONE)),
              key ->
                  new GangReport(
                      report.token(), report.state(), new ArrayList<>(), new ArrayList<>()));
      gang.members().add(report.member());
      if (!detail.equals(Detail.NONE)) {
        gang.details().add(detail);
      }
    }
    return new ReportBatch(List.copyOf(byState.values()));
  }

  /** Returns the answers one by one. */
  public List<TaskReport> reports() {
    List<TaskReport> reports = new ArrayList<>();
    for (GangReport gang : gangs) {
      boolean plain = gang.details() == null || gang.details().size() != gang.members().size();
      for (int i = 0; i < gang.members().size(); i++) {
        Detail detail = plain ? Detail.NONE : gang.details().get(i);
        reports.add(
            new TaskReport(
                gang.state(),
                gang.token(),
                gang.members().get(i),
                detail.lease(),
                detail.output(),
                detail.reason()));
      }
    }
    return reports;
  }
}
