package org.peridotroute.bench.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import org.peridotroute.adapter.standin.StoreStandIn;
import org.peridotroute.bench.CallerClient;
import org.peridotroute.bench.EdgeProcess;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.JobRequest;
import org.peridotroute.scheduler.model.Schedule;
import org.peridotroute.scheduler.model.StepSpec;
import org.peridotroute.scheduler.port.Topic;
import org.peridotroute.scheduler.table.RequestCodec;

/**
 * Callers that submit jobs at a steady rate over open connections, repeat each call at other VMs
 * until it is acknowledged, and cancel some jobs. Some callers withdraw a job whose submission gets
 * no answer, instead of repeating it.
 */
final class SoakCallers {
  private static final long RETRY_MILLIS = 300;
  private static final double CANCEL_SHARE = 0.1;
  private static final double WITHDRAW_SHARE = 0.4;
  private static final double GANG_SHARE = 0.2;
  private static final int OK = 200;
  private static final int GONE = 410;

  private final StoreStandIn store;
  private final SoakVms vms;
  private final SoakWorkers workers;
  private final Random random;
  private final CallerClient client = new CallerClient();
  private final Map<JobId, Boolean> cancelledByJob = new ConcurrentHashMap<>();
  private final Set<JobId> withdrawnUnknown = ConcurrentHashMap.newKeySet();
  private int jobCount;

  SoakCallers(StoreStandIn store, SoakVms vms, SoakWorkers workers, long seed) {
    this.store = store;
    this.vms = vms;
    this.workers = workers;
    random = new Random(seed);
  }

  /** Submits jobs until the time is over. */
  void run(long untilMillis, long intervalMillis) throws InterruptedException {
    while (System.currentTimeMillis() < untilMillis) {
      JobId id = new JobId("%016x".formatted(++jobCount));
      JobRequest request = newRequest();
      String queue = SoakConfiguration.queueName(random.nextInt(SoakConfiguration.QUEUES));
      boolean cancels = random.nextDouble() < CANCEL_SHARE;
      boolean withdraws = random.nextDouble() < WITHDRAW_SHARE;
      workers.onSubmitted(id, request, queue);
      Thread caller =
          new Thread(() -> submit(id, request, "/" + queue + "/", cancels, withdraws), "caller");
      caller.setDaemon(true);
      caller.start();
      Thread.sleep(intervalMillis);
    }
  }

  private JobRequest newRequest() {
    boolean gang = random.nextDouble() < GANG_SHARE;
    StepSpec step =
        StepSpec.newBuilder()
            .setCount(gang ? 2 + random.nextInt(4) : 1 + random.nextInt(10))
            .setNeed(new Capacity(2_000, 4_000, random.nextInt(3)))
            .setGang(gang)
            .setEstimateMillis(500 + random.nextInt(9_000))
            .build();
    return new JobRequest("soak", List.of(step), Schedule.ONCE);
  }

  private void submit(
      JobId id, JobRequest request, String path, boolean cancels, boolean withdraws) {
    try {
      if (withdraws && send("POST", path + id, body(request)) != OK) {
        withdraw(id, path);
        return;
      }
      call("POST", path + id, body(request));
      cancelledByJob.put(id, cancels);
      if (cancels) {
        Thread.sleep(1_000 + id.hashCode() % 1_000);
        call("DELETE", path + id, "");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void withdraw(JobId id, String path) throws InterruptedException {
    if (call("DELETE", path + id, "") == OK) {
      cancelledByJob.put(id, true);
    } else {
      withdrawnUnknown.add(id);
    }
  }

  private static String body(JobRequest request) {
    StepSpec step = request.steps().get(0);
    return "{\"spec\":\"soak\",\"steps\":[{\"count\":%d,\"cpu\":%d,\"mem_mb\":%d,\"gpu\":%d,"
            .formatted(
                step.count(),
                step.need().milliCores(),
                step.need().memoryMb(),
                step.need().accelerators())
        + "\"gang\":%s,\"estimate_ms\":%d}]}".formatted(step.gang(), step.estimateMillis());
  }

  /** Repeats a call at random VMs until it is acknowledged, and returns the status. */
  private int call(String method, String path, String body) throws InterruptedException {
    while (true) {
      int status = send(method, path, body);
      if (status == OK || status == GONE) {
        return status;
      }
      Thread.sleep(RETRY_MILLIS);
    }
  }

  private int send(String method, String path, String body) throws InterruptedException {
    EdgeProcess vm = vms.vms().get(ThreadLocalRandom.current().nextInt(vms.vms().size()));
    return client.send(vm, method, path, body).status();
  }

  /** Returns the number of jobs that were withdrawn while they were not on the log. */
  int withdrawnCount() {
    return withdrawnUnknown.size();
  }

  /** Returns the number of those whose submission was stored later. */
  long lateCount() {
    return withdrawnUnknown.stream().filter(id -> submittedOffset(id) >= 0).count();
  }

  private long submittedOffset(JobId id) {
    return store.firstOffset(Topic.REQUESTS, RequestCodec.submissionKey(id));
  }

  /**
   * Returns the withdrawn jobs that were started though their submission was stored after the
   * cancellation, or without one.
   */
  List<String> unasked() {
    List<String> unasked = new ArrayList<>();
    for (JobId id : withdrawnUnknown) {
      long cancelledOffset =
          store.firstOffset(Topic.REQUESTS, RequestCodec.writeCancellation(id).key());
      boolean cancelledFirst = cancelledOffset >= 0 && submittedOffset(id) > cancelledOffset;
      if (workers.startCount(id) > 0 && (cancelledOffset < 0 || cancelledFirst)) {
        unasked.add(id + " was started though it was withdrawn before it was stored");
      }
    }
    return unasked;
  }

  int jobCount() {
    return jobCount;
  }

  /** Returns the jobs that are not shown as ended, or that still run after they were cancelled. */
  List<String> unfinished() throws InterruptedException {
    List<String> unfinished = new ArrayList<>();
    for (Map.Entry<JobId, Boolean> job : cancelledByJob.entrySet()) {
      String state = state(job.getKey());
      int runs = workers.runningCount(job.getKey());
      if (runs > 0 || !isEnded(job.getKey(), state, job.getValue())) {
        unfinished.add(job.getKey() + " is shown as " + state + ", runs: " + runs);
      }
    }
    return unfinished;
  }

  private boolean isEnded(JobId id, String state, boolean cancelled) {
    return state.contains("completed")
        || (cancelled && state.contains("cancelled"))
        || (state.contains("failed") && workers.mayBeGivenUp(id));
  }

  private String state(JobId id) throws InterruptedException {
    int status = 0;
    for (EdgeProcess vm : vms.vms()) {
      CallerClient.Answer answer = client.send(vm, "GET", "/q0/" + id, "");
      if (answer.status() == OK) {
        return answer.body();
      }
      status = answer.status();
    }
    return "status " + status;
  }
}
