package org.peridotroute.server.api;

import org.peridotroute.http.HttpReply;
import org.peridotroute.server.service.ChangeHistory;
import org.peridotroute.server.view.WatchView;

/** Converts pages of changes to replies to watch requests. Stateless. */
final class WatchReply {
  private WatchReply() {}

  static <T> HttpReply of(ChangeHistory.Page<T> page, long from) throws ApiException {
    if (!page.complete()) {
      throw new ApiException(
          ErrorCode.REVISION_EXPIRED,
          "changes since revision " + from + " are no longer kept; list again");
    }
    return HttpReply.ok(
        new WatchView<>(
            page.changes().stream()
                .map(
                    change ->
                        new WatchView.Change<>(change.revision(), change.name(), change.resource()))
                .toList(),
            page.revision()));
  }
}
