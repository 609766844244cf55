package org.peridotroute.pgm;

import com.fasterxml.jackson.core.type.TypeReference;
import com.github.rvesse.airline.annotations.Command;
import org.peridotroute.server.view.Page;
import org.peridotroute.server.view.PeerView;

/** Shows up to which offset each VM has applied the configuration. */
@Command(name = "status", description = "show how far each VM has applied the configuration")
public final class ConfigStatusCommand extends ApiCommand {
  @Override
  int call(Console console, ApiClient client) throws Exception {
    Page<PeerView> page =
        client.call("GET", "/v1/vms", null, new TypeReference<Page<PeerView>>() {});
    long newestOffset = page.items().stream().mapToLong(PeerView::configOffset).max().orElse(0);
    for (PeerView vm : page.items()) {
      console.out().println(formatLine(vm, newestOffset));
    }
    boolean allUpToDate = page.items().stream().allMatch(vm -> vm.configOffset() == newestOffset);
    return allUpToDate ? ExitCode.OK : ExitCode.REFUSED;
  }

  private static String formatLine(PeerView vm, long newestOffset) {
    String state = vm.leaving() ? "leaving" : vm.ready() ? "ready" : "not-ready";
    return "%s place=%s config=%d behind=%d %s%s"
        .formatted(
            vm.vm(),
            vm.place(),
            vm.configOffset(),
            newestOffset - vm.configOffset(),
            state,
            vm.suspect() ? " suspect" : "");
  }
}
