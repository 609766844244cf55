package org.peridotroute.server.api;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.peridotroute.http.HttpReply;
import org.peridotroute.http.HttpServer;
import org.peridotroute.proto.PeerStatus;
import org.peridotroute.server.peer.PeerService;
import org.peridotroute.server.view.Page;
import org.peridotroute.server.view.PeerView;

/** Lists the VMs and the log offsets that each has reached. Thread-safe. */
public final class PeerResource {
  private final Supplier<PeerStatus> ownStatus;
  private final PeerService peers;

  /**
   * Creates the resource.
   *
   * @param ownStatus supplies the current status of this VM
   * @param peers supplies the last status received from each other VM
   */
  public PeerResource(Supplier<PeerStatus> ownStatus, PeerService peers) {
    this.ownStatus = ownStatus;
    this.peers = peers;
  }

  /**
   * Registers the routes of this resource.
   *
   * @param http builder of the HTTP server
   */
  public void addTo(HttpServer.Builder http) {
    http.route("GET", "/v1/vms", request -> list());
  }

  private HttpReply list() {
    PeerStatus own = ownStatus.get();
    List<PeerView> views = new ArrayList<>();
    views.add(view(own, false, 0));
    peers.lastStatuses().values().forEach(heard -> views.add(view(heard)));
    views.sort(Comparator.comparing(PeerView::vm));
    return HttpReply.ok(new Page<>(views, own.getJournalOffset(), null));
  }

  private PeerView view(PeerService.ReceivedStatus heard) {
    long ageMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - heard.receivedNanos());
    return view(heard.status(), peers.isSuspect(heard), ageMillis);
  }

  private static PeerView view(PeerStatus status, boolean suspect, long ageMillis) {
    return new PeerView(
        status.getVm(),
        status.getIncarnation(),
        status.getPlace(),
        status.getJournalOffset(),
        status.getConfigOffset(),
        status.getDrivenGangs(),
        status.getOpenJobs(),
        status.getReady(),
        status.getLeaving(),
        suspect,
        ageMillis);
  }
}
