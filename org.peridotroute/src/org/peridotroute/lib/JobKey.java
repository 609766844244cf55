package org.peridotroute.lib;

import java.util.Comparator;

/**
 * Identifies a job by its organisation and its name within the organisation.
 *
 * @param organisation the owner
 * @param name the name chosen by the caller
 */
public record JobKey(OrganisationId organisation, JobName name) implements Comparable<JobKey> {
  private static final Comparator<JobKey> ORDER =
      Comparator.comparing(JobKey::organisation).thenComparing(JobKey::name);

  /** Checks that both parts are present. */
  public JobKey {
    Checks.present("job.organisation", organisation);
    Checks.present("job.name", name);
  }

  /**
   * Creates a key from plain names.
   *
   * @param organisation the organisation's name
   * @param name the job's name
   * @return the key
   */
  public static JobKey of(String organisation, String name) {
    return new JobKey(new OrganisationId(organisation), new JobName(name));
  }

  @Override
  public int compareTo(JobKey other) {
    return ORDER.compare(this, other);
  }

  @Override
  public String toString() {
    return organisation + "/" + name;
  }
}
