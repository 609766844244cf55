package org.peridotroute.pgm;

import com.fasterxml.jackson.core.type.TypeReference;
import com.github.rvesse.airline.annotations.Command;
import org.peridotroute.server.view.Page;
import org.peridotroute.server.view.PeerView;

/** Tells up to which offset the configuration is in force on each VM. */
@Command(name = "status", description = "tell how far each VM has applied the configuration")
public final class ConfigStatusCommand extends ApiCommand {
  @Override
  int call(Console console, ApiClient client) throws Exception {
    Page<PeerView> page =
        client.call("GET", "/v1/vms", null, new TypeReference<Page<PeerView>>() {});
    long newest = page.items().stream().mapToLong(PeerView::configOffset).max().orElse(0);
    for (PeerView vm : page.items()) {
      console.out().println(line(vm, newest));
    }
    boolean same = page.items().stream().allMatch(vm -> vm.configOffset() == newest);
    return same ? ExitCode.OK : ExitCode.REFUSED;
  }

  private static String line(PeerView vm, long newest) {
    String state = vm.leaving() ? "leaving" : vm.ready() ? "ready" : "not-ready";
    return "%s place=%s config=%d behind=%d %s%s"
        .formatted(
            vm.vm(),
            vm.place(),
            vm.configOffset(),
            newest - vm.configOffset(),
            state,
            vm.suspect() ? " suspect" : "");
  }
}
