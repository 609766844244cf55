package review;

/** Another writer puts an entry of a service that the configuration doesn't name beside the workers'. */
final class OddEntry extends Case {
  private static final String JOB = "00000000000000e7";

  /** The other service listens on two addresses and writes both into its entry. */
  private static final String ENTRY =
      "{\"service\":\"relay\",\"address\":\"127.0.0.1:9001,127.0.0.1:9002\",\"zone\":\"sahiwal-a\","
          + "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,"
          + "\"capacity\":{\"cpu\":64000,\"mem_mb\":131072,\"gpu\":0},\"labels\":[\"a\",\"r1-1\"],"
          + "\"born\":1796428800000,\"clock_ms\":1000,\"seq\":1}";

  /** Pause before the platform starts a process again that has ended. */
  private static final long RESTART_MILLIS = 500;

  private static final long STANDSTILL_MILLIS = 3_000;

  public static void main(String[] arguments) {
    run(new OddEntry(), arguments);
  }

  @Override
  String play() throws Exception {
    Deployment d = new Deployment(record, 3, 7, 8, run -> new Worker.Outcome(1_000, "done"));
    d.start();
    if (trouble) {
      d.store.put("keyed.servers", "relay-1", ENTRY);
      record.line("another writer stores the entry relay-1: " + ENTRY);
    }
    Thread.sleep(500);
    Deployment.Vm other = d.other();
    d.submit(
        other, "/urgent/", JOB, "a job",
        "{\"count\":1,\"cpu\":7500,\"mem_mb\":15000,\"gpu\":1,\"estimate_ms\":1000}");
    long acceptedAt = record.millis();
    record.line("the traffic ends");
    int ends = 0;
    while (record.millis() < acceptedAt + Deployment.FINISH_MILLIS + STANDSTILL_MILLIS + 1_000) {
      for (Deployment.Vm vm : d.vms) {
        if (!vm.isAlive()) {
          record.line(vm.name + " has ended by itself, " + ++ends + " ends so far");
          Thread.sleep(RESTART_MILLIS);
          vm.start();
        }
      }
      if (d.runsOf(JOB).stream().anyMatch(run -> run.how.equals("done"))) {
        record.line("the job was done " + (record.millis() - acceptedAt) + " ms after it was accepted");
        return null;
      }
      Thread.sleep(50);
    }
    return "%d ms after its acceptance the job is shown as %s; %d runs of it have begun on 7 idle workers; processes of the system have ended by themselves %d times"
        .formatted(
            record.millis() - acceptedAt, d.state(other, "/urgent/" + JOB), d.runsOf(JOB).size(), ends);
  }
}
