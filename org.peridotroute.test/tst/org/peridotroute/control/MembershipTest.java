package org.peridotroute.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.peridotroute.lib.Directory;
import org.peridotroute.lib.PlaceId;
import org.peridotroute.lib.VmId;
import org.peridotroute.lib.VmInfo;

final class MembershipTest {
  private static final VmId SELF = new VmId("vm-1");
  private static final VmId PEER = new VmId("vm-2");
  private static final long SUSPECT_MILLIS = 3_000;
  private static final Directory LISTED = new Directory(List.of(vm(SELF), vm(PEER)), List.of());

  private final Membership membership = new Membership(SELF, SUSPECT_MILLIS);

  @Test
  void excludesSilentVmThatIsStillOnTheList() {
    membership.recordStatus(PEER, false, 0);
    assertThat(members(SUSPECT_MILLIS)).containsExactly(SELF, PEER);
    assertThat(members(SUSPECT_MILLIS + 1)).containsExactly(SELF);
  }

  @Test
  void includesVmAgainAfterItsNextStatus() {
    membership.recordStatus(PEER, false, 0);
    assertThat(members(10_000)).containsExactly(SELF);
    membership.recordStatus(PEER, false, 10_001);
    assertThat(members(10_002)).containsExactly(SELF, PEER);
  }

  @Test
  void allowsFullTimeoutForVmWithoutAnyStatus() {
    assertThat(members(50_000)).containsExactly(SELF, PEER);
    assertThat(members(50_000 + SUSPECT_MILLIS + 1)).containsExactly(SELF);
  }

  @Test
  void marksVmThatAnnouncesLeavingBeforeTheListDoes() {
    membership.recordStatus(PEER, true, 0);
    Directory live = membership.liveDirectory(LISTED, 1);
    assertThat(live.vms().stream().filter(VmInfo::leaving).map(VmInfo::id).toList())
        .containsExactly(PEER);
  }

  private List<VmId> members(long nowMillis) {
    return membership.liveDirectory(LISTED, nowMillis).vms().stream().map(VmInfo::id).toList();
  }

  private static VmInfo vm(VmId id) {
    return new VmInfo(id, new PlaceId("quimper"), false, "", "127.0.0.1:1");
  }
}
