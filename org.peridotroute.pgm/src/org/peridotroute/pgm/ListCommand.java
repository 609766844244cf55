package org.peridotroute.pgm;

import com.fasterxml.jackson.core.type.TypeReference;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.AllowedRawValues;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.PrintStream;
import org.peridotroute.server.view.JobView;
import org.peridotroute.server.view.OrganisationView;
import org.peridotroute.server.view.Page;
import org.peridotroute.server.view.WorkerGroupView;
import org.peridotroute.server.view.WorkerView;

/** Lists all resources of one kind. */
@Command(name = "list", description = "list organisations, jobs, workers, racks or places")
public final class ListCommand extends ApiCommand {
  @Arguments(title = "KIND", description = "organisations, jobs, workers, racks or places")
  @Required
  @AllowedRawValues(allowedValues = {"organisations", "jobs", "workers", "racks", "places"})
  private String kind;

  @Override
  int call(Console console, ApiClient client) throws Exception {
    PrintStream out = console.out();
    switch (kind) {
      case "organisations" -> listOrganisations(out, client);
      case "jobs" -> listJobs(out, client);
      case "workers" -> listWorkers(out, client);
      default -> listGroups(out, client);
    }
    return ExitCode.OK;
  }

  private static void listOrganisations(PrintStream out, ApiClient client) throws CommandException {
    client
        .call("GET", "/v1/organisations", null, new TypeReference<Page<OrganisationView>>() {})
        .items()
        .forEach(item -> out.println(item.name() + " guarantees=" + guarantees(item)));
  }

  private static String guarantees(OrganisationView organisation) {
    return String.join(
        ",",
        organisation.spec().guarantees().stream()
            .map(guarantee -> guarantee.count() + "*" + guarantee.shape())
            .toList());
  }

  private static void listJobs(PrintStream out, ApiClient client) throws CommandException {
    String after = "";
    while (after != null) {
      String query = after.isEmpty() ? "" : "?after=" + after;
      Page<JobView> page =
          client.call("GET", "/v1/jobs" + query, null, new TypeReference<Page<JobView>>() {});
      page.items().forEach(job -> out.println(JobLine.format(job)));
      after = page.next();
    }
  }

  private static void listWorkers(PrintStream out, ApiClient client) throws CommandException {
    client
        .call("GET", "/v1/workers", null, new TypeReference<Page<WorkerView>>() {})
        .items()
        .forEach(
            worker ->
                out.printf(
                    "%s rack=%s place=%s accelerators=%d free=%d%s%n",
                    worker.name(),
                    worker.rack(),
                    worker.place(),
                    worker.accelerators(),
                    worker.free(),
                    worker.leaving() ? " leaving" : ""));
  }

  private void listGroups(PrintStream out, ApiClient client) throws CommandException {
    client
        .call("GET", "/v1/" + kind, null, new TypeReference<Page<WorkerGroupView>>() {})
        .items()
        .forEach(
            group ->
                out.printf(
                    "%s workers=%d accelerators=%d free=%d%n",
                    group.name(), group.workers(), group.accelerators(), group.free()));
  }
}
