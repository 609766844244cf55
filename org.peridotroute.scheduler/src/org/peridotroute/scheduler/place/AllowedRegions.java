package org.peridotroute.scheduler.place;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.peridotroute.scheduler.model.OrganisationAccess;
import org.peridotroute.scheduler.model.Queue;

/** Regions in which the tasks of a job may run, from what its queue and its organisation allow. */
public final class AllowedRegions {
  private AllowedRegions() {}

  /**
   * Returns the regions in which the tasks of a job may run.
   *
   * @param queue its queue
   * @param organisation its organisation, empty if its caller is not known
   * @return as {@link #combine}
   */
  public static Optional<List<String>> of(Queue queue, Optional<OrganisationAccess> organisation) {
    return combine(
        queue.allowedRegions(),
        organisation.map(OrganisationAccess::allowedRegions).orElse(List.of()));
  }

  /**
   * Combines the regions that a queue and an organisation allow. An empty list allows all regions.
   *
   * @param queue regions that the queue allows
   * @param organisation regions that the organisation allows
   * @return the regions that both allow, empty if both allow all; or no value if they have none in
   *     common
   */
  public static Optional<List<String>> combine(List<String> queue, List<String> organisation) {
    if (queue.isEmpty() || organisation.isEmpty()) {
      return Optional.of(queue.isEmpty() ? organisation : queue);
    }
    List<String> common = queue.stream().filter(organisation::contains).toList();
    return common.isEmpty() ? Optional.empty() : Optional.of(common);
  }

  /**
   * Returns whether tasks may run in a data centre.
   *
   * @param allowed the allowed regions, empty for all
   * @param dataCentre the data centre
   * @param regionsByDataCentre region of each data centre
   */
  public static boolean permit(
      List<String> allowed, String dataCentre, Map<String, String> regionsByDataCentre) {
    return allowed.isEmpty() || allowed.contains(regionsByDataCentre.get(dataCentre));
  }
}
