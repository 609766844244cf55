package org.peridotroute.server.api;

import java.util.List;
import java.util.function.Supplier;
import org.peridotroute.fold.ConfigState;
import org.peridotroute.fold.Verdict;
import org.peridotroute.http.HttpReply;
import org.peridotroute.http.HttpRequest;
import org.peridotroute.http.HttpServer;
import org.peridotroute.http.Json;
import org.peridotroute.journal.LogRecord;
import org.peridotroute.lib.Directory;
import org.peridotroute.lib.Organisation;
import org.peridotroute.lib.OrganisationId;
import org.peridotroute.policy.FreeAccelerators;
import org.peridotroute.policy.Guarantees;
import org.peridotroute.server.service.ChangeHistory;
import org.peridotroute.server.service.FoldedState;
import org.peridotroute.server.view.OrganisationView;
import org.peridotroute.server.view.Page;

/** HTTP resource of organisations: put, get, list, delete, watch. Thread-safe. */
public final class OrganisationResource {
  private static final String ORGANISATION = "/v1/organisations/{organisation}";
  private static final long MAX_WAIT_MILLIS = 30_000;

  private final FoldedState state;
  private final Supplier<Directory> directory;
  private final Committer committer;

  /**
   * Creates the resource.
   *
   * @param state state folded from the log
   * @param directory supplies the current directory of VMs and workers
   * @param committer commits changes to the configuration
   */
  public OrganisationResource(
      FoldedState state, Supplier<Directory> directory, Committer committer) {
    this.state = state;
    this.directory = directory;
    this.committer = committer;
  }

  /**
   * Registers the routes of this resource.
   *
   * @param http builder of the HTTP server
   */
  public void addTo(HttpServer.Builder http) {
    http.route("PUT", ORGANISATION, this::put)
        .route("GET", ORGANISATION, this::get)
        .route("DELETE", ORGANISATION, this::delete)
        .route("GET", "/v1/organisations", request -> list())
        .route("GET", "/v1/watch/organisations", this::watch);
  }

  private HttpReply put(HttpRequest request) throws Exception {
    OrganisationId id = Parameters.organisation(request);
    Organisation organisation = Json.read(request.body(), Organisation.class);
    committer.requireReady();
    checkGuaranteesFit(id, organisation);
    long expected = expectedRevision(request, id);
    Verdict verdict = committer.commit(new LogRecord.OrganisationPut(id, organisation, expected));
    return switch (verdict) {
      case ACCEPTED -> get(request);
      case LOST_RACE -> throw lostRace(id, expected);
      case FULL -> throw new ApiException(ErrorCode.OVERLOADED, "too many organisations");
      default ->
          throw new IllegalStateException("unexpected verdict on an organisation: " + verdict);
    };
  }

  /**
   * Rejects a declaration if more guarantees than before could not be met at once, even with every
   * accelerator free.
   */
  private void checkGuaranteesFit(OrganisationId id, Organisation organisation)
      throws ApiException {
    FreeAccelerators allFree = FreeAccelerators.allOf(directory.get().workers());
    List<Guarantees.OwnedShape> unfitBefore =
        Guarantees.declared(state.config()).pack(allFree, allFree).unplaced();
    ConfigState changed = state.config().withOrganisation(id, organisation);
    List<Guarantees.OwnedShape> unfitAfter =
        Guarantees.declared(changed).pack(allFree, allFree).unplaced();
    if (unfitAfter.size() > unfitBefore.size()) {
      throw new ApiException(
          ErrorCode.GUARANTEE_DOES_NOT_FIT,
          "with organisation "
              + id
              + " there would not be enough capacity at once for "
              + describe(unfitAfter));
    }
  }

  private static String describe(List<Guarantees.OwnedShape> unfit) {
    return String.join(
        ", ", unfit.stream().map(owned -> owned.shape() + " of " + owned.owner()).toList());
  }

  private HttpReply delete(HttpRequest request) throws ApiException {
    OrganisationId id = Parameters.organisation(request);
    long expected = expectedRevision(request, id);
    boolean hasOpenJobs =
        state.jobs().jobs().values().stream()
            .anyMatch(job -> job.key().organisation().equals(id) && !job.isEnded());
    if (hasOpenJobs) {
      throw new ApiException(
          ErrorCode.IN_USE, "organisation " + id + " has jobs that have not ended");
    }
    Verdict verdict = committer.commit(new LogRecord.OrganisationDeleted(id, expected));
    return switch (verdict) {
      case ACCEPTED -> HttpReply.ok(List.of());
      case NOT_FOUND -> throw unknown(id);
      default -> throw lostRace(id, expected);
    };
  }

  private HttpReply get(HttpRequest request) throws ApiException {
    OrganisationId id = Parameters.organisation(request);
    ConfigState.DeclaredOrganisation declared = state.config().organisations().get(id);
    if (declared == null) {
      throw unknown(id);
    }
    return HttpReply.ok(view(id, declared));
  }

  private HttpReply list() {
    ConfigState config = state.config();
    List<OrganisationView> views =
        config.organisations().entrySet().stream()
            .map(entry -> view(entry.getKey(), entry.getValue()))
            .toList();
    return HttpReply.ok(new Page<>(views, config.offset(), null));
  }

  private HttpReply watch(HttpRequest request) throws ApiException {
    long from = Parameters.number(request, "from", state.config().offset(), Long.MAX_VALUE);
    long waitMillis = Parameters.number(request, "waitMillis", MAX_WAIT_MILLIS, MAX_WAIT_MILLIS);
    ChangeHistory.Page<Organisation> page = state.organisationHistory().after(from, waitMillis);
    return WatchReply.of(page, from);
  }

  private long expectedRevision(HttpRequest request, OrganisationId id) {
    ConfigState.DeclaredOrganisation declared = state.config().organisations().get(id);
    long currentRevision = declared == null ? 0 : declared.revision();
    return Parameters.number(request, "revision", currentRevision, Long.MAX_VALUE);
  }

  private static OrganisationView view(
      OrganisationId id, ConfigState.DeclaredOrganisation declared) {
    return new OrganisationView(id, declared.revision(), declared.organisation());
  }

  private static ApiException unknown(OrganisationId id) {
    return new ApiException(
        ErrorCode.UNKNOWN_ORGANISATION, "organisation " + id + " is not declared");
  }

  private static ApiException lostRace(OrganisationId id, long expected) {
    return new ApiException(
        ErrorCode.LOST_RACE,
        "organisation " + id + " was changed by somebody else since revision " + expected);
  }
}
