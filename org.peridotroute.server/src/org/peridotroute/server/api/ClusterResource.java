package org.peridotroute.server.api;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.peridotroute.fold.JobState;
import org.peridotroute.http.HttpReply;
import org.peridotroute.http.HttpServer;
import org.peridotroute.lib.AcceleratorId;
import org.peridotroute.lib.Directory;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.lib.WorkerInfo;
import org.peridotroute.server.service.FoldedState;
import org.peridotroute.server.view.Page;
import org.peridotroute.server.view.WorkerGroupView;
import org.peridotroute.server.view.WorkerView;

/** Lists workers, racks and places in the state known to this VM. Thread-safe. */
public final class ClusterResource {
  private final FoldedState state;
  private final Supplier<Directory> directory;

  /**
   * Creates the resource.
   *
   * @param state state folded from the log
   * @param directory supplies the current directory of VMs and workers
   */
  public ClusterResource(FoldedState state, Supplier<Directory> directory) {
    this.state = state;
    this.directory = directory;
  }

  /**
   * Registers the routes of this resource.
   *
   * @param http builder of the HTTP server
   */
  public void addTo(HttpServer.Builder http) {
    http.route("GET", "/v1/workers", request -> page(workers()))
        .route("GET", "/v1/racks", request -> page(groups(worker -> worker.rack().value())))
        .route("GET", "/v1/places", request -> page(groups(worker -> worker.place().value())));
  }

  private <T> HttpReply page(List<T> items) {
    return HttpReply.ok(new Page<>(items, state.jobs().offset(), null));
  }

  private List<WorkerView> workers() {
    JobState jobs = state.jobs();
    Map<WorkerId, Long> heldByWorker =
        jobs.holders().keySet().stream()
            .collect(Collectors.groupingBy(AcceleratorId::worker, Collectors.counting()));
    return directory.get().workers().stream().map(worker -> view(worker, heldByWorker)).toList();
  }

  private static WorkerView view(WorkerInfo worker, Map<WorkerId, Long> heldByWorker) {
    long free = worker.accelerators() - heldByWorker.getOrDefault(worker.id(), 0L);
    return new WorkerView(
        worker.id(), worker.rack(), worker.place(), worker.accelerators(), free, worker.leaving());
  }

  private List<WorkerGroupView> groups(Function<WorkerView, String> nameOf) {
    Map<String, List<WorkerView>> groups =
        workers().stream()
            .collect(Collectors.groupingBy(nameOf, TreeMap::new, Collectors.toList()));
    return groups.entrySet().stream().map(group -> view(group.getKey(), group.getValue())).toList();
  }

  private static WorkerGroupView view(String name, List<WorkerView> workers) {
    int accelerators = workers.stream().mapToInt(WorkerView::accelerators).sum();
    long free = workers.stream().mapToLong(WorkerView::free).sum();
    return new WorkerGroupView(name, workers.size(), accelerators, free);
  }
}
