package org.peridotroute.platform;

import java.util.List;
import org.peridotroute.control.TaskReport;

/**
 * A worker's answers.
 *
 * @param reports one for each command, in order
 */
public record ReportBatch(List<TaskReport> reports) {
  /** Copies the list. */
  public ReportBatch {
    reports = List.copyOf(reports);
  }
}
