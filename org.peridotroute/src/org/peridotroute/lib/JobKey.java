package org.peridotroute.lib;

import java.util.Comparator;

/**
 * Identity of a job: its organisation and its name there.
 *
 * @param organisation the owner
 * @param name the name the caller chose
 */
public record JobKey(OrganisationId organisation, JobName name) implements Comparable<JobKey> {
  private static final Comparator<JobKey> ORDER =
      Comparator.comparing(JobKey::organisation).thenComparing(JobKey::name);

  /** Checks that both parts are there. */
  public JobKey {
    Checks.present("job.organisation", organisation);
    Checks.present("job.name", name);
  }

  /**
   * Makes a key of plain names.
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
