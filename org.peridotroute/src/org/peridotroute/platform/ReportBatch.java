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
 * Wire format of a worker's reports. Members of a gang that are in the same state and have no
 * details to report are sent as a list of member indices.
 *
 * @param gangs the reports, grouped by gang and state
 */
public record ReportBatch(List<GangReport> gangs) {
  /** Makes a defensive copy of the list. */
  public ReportBatch {
    gangs = List.copyOf(gangs);
  }

  /**
   * Members of one gang in one state.
   *
   * @param token fencing token of the attempt
   * @param state state of the members' tasks
   * @param members indices of the members
   * @param details details of each member, in the order of {@code members}; absent if there are
   *     none
   */
  @JsonInclude(JsonInclude.Include.NON_EMPTY)
  public record GangReport(
      long token, TaskState state, List<Integer> members, List<Detail> details) {}

  /**
   * Details that a member reports in addition to its state.
   *
   * @param lease id of the lease granted by the worker
   * @param output output of the task
   * @param reason cause of a failure
   */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  public record Detail(String lease, Answer output, String reason) {
    private static final Detail NONE = new Detail(null, null, null);

    private static Detail of(TaskReport report) {
      return new Detail(report.lease(), report.output(), report.reason());
    }
  }

  /**
   * Groups reports by gang and state.
   *
   * @param reports the reports
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

  /** Returns the reports of the individual members. */
  public List<TaskReport> reports() {
    List<TaskReport> reports = new ArrayList<>();
    for (GangReport gang : gangs) {
      boolean withoutDetails =
          gang.details() == null || gang.details().size() != gang.members().size();
      for (int i = 0; i < gang.members().size(); i++) {
        Detail detail = withoutDetails ? Detail.NONE : gang.details().get(i);
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
