package lab3;

import java.nio.file.Path;
import java.util.List;

/** Case 11: after the process that plans is killed, each one that takes over ends by itself. */
final class Regions {
  private static final String PREFIX = "/proof/";
  private static final String JOB = "5c0e7a21d94b3671";

  public static void main(String[] arguments) throws Exception {
    Record record = new Record(Path.of(arguments[0]));
    System.exit(run(record, arguments[1].equals("1")));
  }

  private static int run(Record record, boolean trouble) throws Exception {
    Worker.Script script = (worker, task, run, spec) -> new Worker.Course(4_000, "done");
    Deployment deployment = new Deployment(record);
    deployment.setPlaces(List.of("bretagne", "paris"));
    for (int i = 0; i < 24; i++) {
      deployment.addWorker("a", script);
    }
    deployment.configure();
    deployment.addEdges(3);
    if (!deployment.awaitReady(30_000)) {
      record.add("could not run: the processes are not ready");
      return 2;
    }
    String body =
        "{\"spec\":\"proofs\",\"steps\":[{\"count\":20,\"cpu\":15000,\"mem_mb\":44000,\"gpu\":8,"
            + "\"estimate_ms\":4000}]}";
    if (!deployment.submit(PREFIX, JOB, body)) {
      record.add("could not run: the job was not accepted");
      return 2;
    }
    Worker.pause(1_500);
    if (trouble) {
      Deployment.Edge planner = deployment.planner();
      record.add("machine %s, which plans, is killed", planner.name);
      planner.process.destroyForcibly().waitFor();
      Worker.pause(1_000);
      deployment.start(planner);
    }
    int ends = 0;
    double until = record.seconds() + 45;
    String state = "";
    while (record.seconds() < until && !state.equals("completed")) {
      Worker.pause(200);
      for (Deployment.Edge edge : deployment.edges) {
        if (!edge.process.isAlive()) {
          ends++;
          record.add("machine %s: process has ended: %d", edge.name, edge.process.exitValue());
          Worker.pause(1_000);
          deployment.start(edge);
        }
      }
      String latest = deployment.state(PREFIX, JOB);
      if (!latest.equals(state)) {
        record.add("GET %s%s: %s", PREFIX, JOB, latest);
        state = latest;
      }
    }
    record.add("at the end: state %s, %d processes have ended by themselves", state, ends);
    if (!state.equals("completed")) {
      record.add("RULE BROKEN (LOST): the accepted job stands still for good, as do all others");
      return 1;
    }
    record.add("rule held");
    return 0;
  }
}
