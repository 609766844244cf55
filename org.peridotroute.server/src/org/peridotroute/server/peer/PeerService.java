package org.peridotroute.server.peer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.peridotroute.control.Membership;
import org.peridotroute.lib.Directory;
import org.peridotroute.lib.VmId;
import org.peridotroute.lib.VmInfo;
import org.peridotroute.proto.PeerFrame;
import org.peridotroute.proto.PeerStatus;
import org.peridotroute.proto.StateChunk;
import org.peridotroute.server.service.Event;
import org.peridotroute.snapshot.Snapshot;
import org.peridotroute.snapshot.SnapshotChunk;
import org.peridotroute.snapshot.SnapshotCodec;

/**
 * Exchanges statuses with the other VMs and hands state to those that boot, on one event loop.
 * Started once and stopped once; its results may be read by any thread.
 */
public final class PeerService {
  private static final System.Logger LOGGER = System.getLogger(PeerService.class.getName());
  private static final long STATE_WAIT_MILLIS = 3_000;

  private final VmId self;
  private final String host;
  private final int port;
  private final long statusMillis;
  private final long suspectMillis;
  private final Supplier<Directory> listed;
  private final Supplier<PeerStatus> ownStatus;
  private final Supplier<Optional<Snapshot>> ownState;
  private final Runnable onChange;
  private final Membership membership;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final Map<VmId, PeerConnection> links = new TreeMap<>();
  private final Map<VmId, ReceivedStatus> heard = new ConcurrentSkipListMap<>();
  private final TrafficCounter traffic = new TrafficCounter();
  private volatile Directory members = Directory.EMPTY;
  private volatile int boundPort;

  /**
   * A peer's last status.
   *
   * @param status what it said
   * @param receivedNanos when it was heard
   */
  public record ReceivedStatus(PeerStatus status, long receivedNanos) {}

  private PeerService(Builder builder) {
    self = builder.self;
    host = builder.host;
    port = builder.port;
    statusMillis = builder.statusMillis;
    suspectMillis = builder.suspectMillis;
    listed = builder.listed;
    ownStatus = builder.ownStatus;
    ownState = builder.ownState;
    onChange = builder.onChange;
    membership = new Membership(self, suspectMillis);
  }

  /**
   * Starts a description.
   *
   * @param self this VM
   * @param host the address to listen on
   * @param port the port, 0 for any free one
   * @return the builder
   */
  public static Builder newBuilder(VmId self, String host, int port) {
    return new Builder(self, host, port);
  }

  /** Starts listening and exchanging statuses. Fails if the address is taken. */
  public void start() {
    Channel server =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel fresh) {
                    FrameCodec.addTo(fresh.pipeline(), traffic);
                    fresh.pipeline().addLast(new Requests());
                  }
                })
            .bind(host, port)
            .syncUninterruptibly()
            .channel();
    boundPort = ((InetSocketAddress) server.localAddress()).getPort();
    var unused = group.scheduleWithFixedDelay(this::tick, 0, statusMillis, TimeUnit.MILLISECONDS);
  }

  /** Closes all connections. */
  public void stop() {
    var unused = group.shutdownGracefully(0, statusMillis, TimeUnit.MILLISECONDS);
  }

  /** Returns where peers reach this VM, once started. */
  public String address() {
    return host + ":" + boundPort;
  }

  /** Returns the platform's list joined with what was heard from peers. */
  public Directory liveDirectory() {
    return members;
  }

  /** Returns what has gone to and come from peers. */
  public TrafficCounter traffic() {
    return traffic;
  }

  /** Returns the last status of each peer. */
  public Map<VmId, ReceivedStatus> lastStatuses() {
    return heard;
  }

  /**
   * Returns whether a peer was silent for too long.
   *
   * @param peer its last status
   * @return whether it is suspected
   */
  public boolean isSuspect(ReceivedStatus peer) {
    return System.nanoTime() - peer.receivedNanos() > TimeUnit.MILLISECONDS.toNanos(suspectMillis);
  }

  /**
   * Asks all peers for their state. Blocks for some seconds at the most; not to be called on the
   * event loop.
   *
   * @return the newest state, empty if no peer has any
   * @throws InterruptedException if interrupted while waiting
   */
  public Optional<Snapshot> requestState() throws InterruptedException {
    List<CompletableFuture<Optional<Snapshot>>> replies =
        CompletableFuture.supplyAsync(this::askAll, group).join();
    Optional<Snapshot> newest = Optional.empty();
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STATE_WAIT_MILLIS);
    for (CompletableFuture<Optional<Snapshot>> reply : replies) {
      while (!reply.isDone() && System.nanoTime() < deadlineNanos) {
        Thread.sleep(10);
      }
      newest = newer(newest, reply.getNow(Optional.empty()));
    }
    return newest;
  }

  private List<CompletableFuture<Optional<Snapshot>>> askAll() {
    connectToAll();
    return new ArrayList<>(links.values().stream().map(PeerConnection::requestState).toList());
  }

  private static Optional<Snapshot> newer(Optional<Snapshot> one, Optional<Snapshot> other) {
    if (one.isEmpty() || other.isEmpty()) {
      return one.isEmpty() ? other : one;
    }
    boolean later = other.get().jobs().offset() > one.get().jobs().offset();
    return later ? other : one;
  }

  private void tick() {
    connectToAll();
    PeerStatus status = ownStatus.get();
    links.values().forEach(link -> link.send(status));
    publishMembers();
  }

  private void connectToAll() {
    Map<VmId, String> wanted = new TreeMap<>();
    listed.get().vms().stream()
        .filter(vm -> !vm.id().equals(self) && vm.peer() != null)
        .forEach(vm -> wanted.put(vm.id(), vm.peer()));
    links
        .entrySet()
        .removeIf(
            entry -> {
              boolean gone = !entry.getValue().address().equals(wanted.get(entry.getKey()));
              if (gone) {
                entry.getValue().close();
              }
              return gone;
            });
    heard.keySet().retainAll(wanted.keySet());
    wanted.forEach(
        (vm, address) ->
            links.computeIfAbsent(
                vm,
                id -> new PeerConnection(address, group, suspectMillis, traffic, this::onStatus)));
  }

  private void onStatus(PeerStatus status) {
    VmId vm = new VmId(status.getVm());
    heard.put(vm, new ReceivedStatus(status, System.nanoTime()));
    membership.recordStatus(vm, status.getLeaving(), nowMillis());
  }

  private void publishMembers() {
    Directory next = membership.liveDirectory(listed.get(), nowMillis());
    if (next.equals(members)) {
      return;
    }
    if (!next.vms().equals(members.vms())) {
      Event.of("members-changed")
          .with("vm", self)
          .with("members", next.vms().stream().map(VmInfo::id).toList())
          .log(LOGGER, System.Logger.Level.INFO);
    }
    members = next;
    onChange.run();
  }

  private static long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  /** Takes what peers ask on connections that they opened. */
  private final class Requests extends SimpleChannelInboundHandler<PeerFrame> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, PeerFrame frame) {
      if (frame.hasStatus()) {
        onStatus(frame.getStatus());
        var unused =
            context.writeAndFlush(PeerFrame.newBuilder().setStatus(ownStatus.get()).build());
      }
      if (frame.hasStateRequest()) {
        ownState.get().ifPresent(state -> sendState(context, state));
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      var unused = context.close();
    }

    private void sendState(ChannelHandlerContext context, Snapshot state) {
      String id = self + "-" + state.jobs().offset();
      for (String text : SnapshotCodec.split(id, state, SnapshotChunk.MAX_DATA_BYTES)) {
        StateChunk chunk = StateChunk.newBuilder().setText(text).build();
        var unused = context.write(PeerFrame.newBuilder().setStateChunk(chunk).build());
      }
      context.flush();
    }
  }

  /** Builder of a {@link PeerService}. Not safe for use by several threads. */
  public static final class Builder {
    private final VmId self;
    private final String host;
    private final int port;
    private long statusMillis = 1_000;
    private long suspectMillis = 3_500;
    private Supplier<Directory> listed = () -> Directory.EMPTY;
    private Supplier<PeerStatus> ownStatus = PeerStatus::getDefaultInstance;
    private Supplier<Optional<Snapshot>> ownState = Optional::empty;
    private Runnable onChange = () -> {};

    private Builder(VmId self, String host, int port) {
      this.self = self;
      this.host = host;
      this.port = port;
    }

    /** Sets the time between two statuses, in milliseconds. */
    public Builder setStatusMillis(long value) {
      statusMillis = value;
      return this;
    }

    /** Sets the silence after which a peer is suspected, in milliseconds. */
    public Builder setSuspectMillis(long value) {
      suspectMillis = value;
      return this;
    }

    /** Sets where the platform's list comes from. */
    public Builder setListedDirectory(Supplier<Directory> value) {
      listed = value;
      return this;
    }

    /** Sets where this VM's own status comes from. */
    public Builder setOwnStatus(Supplier<PeerStatus> value) {
      ownStatus = value;
      return this;
    }

    /** Sets where this VM's own state comes from; empty while it has none. */
    public Builder setOwnState(Supplier<Optional<Snapshot>> value) {
      ownState = value;
      return this;
    }

    /** Sets what is called when the members have changed. */
    public Builder setOnChange(Runnable value) {
      onChange = value;
      return this;
    }

    /** Returns the service, not yet started. */
    public PeerService build() {
      return new PeerService(this);
    }
  }
}
