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
 * Exchanges statuses with the other VMs and sends them the state when they start. Runs on one event
 * loop; is started once and stopped once. Its getters may be called by any thread.
 */
public final class PeerService {
  private static final System.Logger LOGGER = System.getLogger(PeerService.class.getName());
  private static final long STATE_TIMEOUT_MILLIS = 3_000;

  private final VmId self;
  private final String host;
  private final int port;
  private final long statusMillis;
  private final long suspectMillis;
  private final Supplier<Directory> platformDirectory;
  private final Supplier<PeerStatus> ownStatus;
  private final Supplier<Optional<Snapshot>> ownState;
  private final Runnable onChange;
  private final Membership membership;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final Map<VmId, PeerConnection> connections = new TreeMap<>();
  private final Map<VmId, ReceivedStatus> lastStatuses = new ConcurrentSkipListMap<>();
  private final TrafficCounter traffic = new TrafficCounter();
  private volatile Directory liveDirectory = Directory.EMPTY;
  private volatile int boundPort;

  /**
   * The last status received from a peer.
   *
   * @param status the status
   * @param receivedNanos monotonic time of receipt
   */
  public record ReceivedStatus(PeerStatus status, long receivedNanos) {}

  private PeerService(Builder builder) {
    self = builder.self;
    host = builder.host;
    port = builder.port;
    statusMillis = builder.statusMillis;
    suspectMillis = builder.suspectMillis;
    platformDirectory = builder.platformDirectory;
    ownStatus = builder.ownStatus;
    ownState = builder.ownState;
    onChange = builder.onChange;
    membership = new Membership(self, suspectMillis);
  }

  /**
   * Creates a builder.
   *
   * @param self this VM
   * @param host the address to listen on
   * @param port the port to listen on, 0 for any free port
   * @return the builder
   */
  public static Builder newBuilder(VmId self, String host, int port) {
    return new Builder(self, host, port);
  }

  /** Starts listening and exchanging statuses. Fails if the address is in use. */
  public void start() {
    Channel server =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel newChannel) {
                    FrameCodec.addTo(newChannel.pipeline(), traffic);
                    newChannel.pipeline().addLast(new RequestHandler());
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

  /** Returns the address at which peers reach this VM. Valid after the start. */
  public String address() {
    return host + ":" + boundPort;
  }

  /** Returns the platform's directory without suspected VMs, updated with the statuses of peers. */
  public Directory liveDirectory() {
    return liveDirectory;
  }

  /** Returns the counter of bytes sent to and received from peers. */
  public TrafficCounter traffic() {
    return traffic;
  }

  /** Returns the last status received from each peer. */
  public Map<VmId, ReceivedStatus> lastStatuses() {
    return lastStatuses;
  }

  /**
   * Returns whether a peer is suspected, because its last status is older than the timeout.
   *
   * @param last the last status received from the peer
   * @return whether it is suspected
   */
  public boolean isSuspect(ReceivedStatus last) {
    return System.nanoTime() - last.receivedNanos() > TimeUnit.MILLISECONDS.toNanos(suspectMillis);
  }

  /**
   * Requests the state from all peers. Blocks until all have replied, for at most a few seconds.
   * Must not be called on the event loop.
   *
   * @return the newest state received, or empty if there is none
   * @throws InterruptedException if interrupted while waiting
   */
  public Optional<Snapshot> requestState() throws InterruptedException {
    List<CompletableFuture<Optional<Snapshot>>> replies =
        CompletableFuture.supplyAsync(this::requestStateFromAll, group).join();
    Optional<Snapshot> newest = Optional.empty();
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STATE_TIMEOUT_MILLIS);
    for (CompletableFuture<Optional<Snapshot>> reply : replies) {
      while (!reply.isDone() && System.nanoTime() < deadlineNanos) {
        Thread.sleep(10);
      }
      newest = newer(newest, reply.getNow(Optional.empty()));
    }
    return newest;
  }

  private List<CompletableFuture<Optional<Snapshot>>> requestStateFromAll() {
    updateConnections();
    return new ArrayList<>(
        connections.values().stream().map(PeerConnection::requestState).toList());
  }

  private static Optional<Snapshot> newer(Optional<Snapshot> one, Optional<Snapshot> other) {
    if (one.isEmpty() || other.isEmpty()) {
      return one.isEmpty() ? other : one;
    }
    boolean later = other.get().jobs().offset() > one.get().jobs().offset();
    return later ? other : one;
  }

  private void tick() {
    updateConnections();
    PeerStatus status = ownStatus.get();
    connections.values().forEach(connection -> connection.send(status));
    publishLiveDirectory();
  }

  private void updateConnections() {
    Map<VmId, String> wanted = new TreeMap<>();
    platformDirectory.get().vms().stream()
        .filter(vm -> !vm.id().equals(self) && vm.peer() != null)
        .forEach(vm -> wanted.put(vm.id(), vm.peer()));
    connections
        .entrySet()
        .removeIf(
            entry -> {
              boolean obsolete = !entry.getValue().address().equals(wanted.get(entry.getKey()));
              if (obsolete) {
                entry.getValue().close();
              }
              return obsolete;
            });
    lastStatuses.keySet().retainAll(wanted.keySet());
    wanted.forEach(
        (vm, address) ->
            connections.computeIfAbsent(
                vm,
                id -> new PeerConnection(address, group, suspectMillis, traffic, this::onStatus)));
  }

  private void onStatus(PeerStatus status) {
    VmId vm = new VmId(status.getVm());
    lastStatuses.put(vm, new ReceivedStatus(status, System.nanoTime()));
    membership.recordStatus(vm, status.getLeaving(), nowMillis());
  }

  private void publishLiveDirectory() {
    Directory next = membership.liveDirectory(platformDirectory.get(), nowMillis());
    if (next.equals(liveDirectory)) {
      return;
    }
    if (!next.vms().equals(liveDirectory.vms())) {
      Event.of("members-changed")
          .with("vm", self)
          .with("members", next.vms().stream().map(VmInfo::id).toList())
          .log(LOGGER, System.Logger.Level.INFO);
    }
    liveDirectory = next;
    onChange.run();
  }

  private static long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  /** Handles requests on connections that peers have opened. */
  private final class RequestHandler extends SimpleChannelInboundHandler<PeerFrame> {
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

  /** Builds a {@link PeerService}. Not thread-safe. */
  public static final class Builder {
    private final VmId self;
    private final String host;
    private final int port;
    private long statusMillis = 1_000;
    private long suspectMillis = 3_500;
    private Supplier<Directory> platformDirectory = () -> Directory.EMPTY;
    private Supplier<PeerStatus> ownStatus = PeerStatus::getDefaultInstance;
    private Supplier<Optional<Snapshot>> ownState = Optional::empty;
    private Runnable onChange = () -> {};

    private Builder(VmId self, String host, int port) {
      this.self = self;
      this.host = host;
      this.port = port;
    }

    /** Sets the interval between two statuses, in milliseconds. */
    public Builder setStatusMillis(long value) {
      statusMillis = value;
      return this;
    }

    /** Sets the time without a status after which a peer is suspected, in milliseconds. */
    public Builder setSuspectMillis(long value) {
      suspectMillis = value;
      return this;
    }

    /** Sets the supplier of the platform's directory. */
    public Builder setPlatformDirectory(Supplier<Directory> value) {
      platformDirectory = value;
      return this;
    }

    /** Sets the supplier of this VM's own status. */
    public Builder setOwnStatus(Supplier<PeerStatus> value) {
      ownStatus = value;
      return this;
    }

    /** Sets the supplier of this VM's own state, which is empty while the VM has none. */
    public Builder setOwnState(Supplier<Optional<Snapshot>> value) {
      ownState = value;
      return this;
    }

    /** Sets the callback for changes of the live directory. It runs on the event loop. */
    public Builder setOnChange(Runnable value) {
      onChange = value;
      return this;
    }

    /** Returns a new service, not started. */
    public PeerService build() {
      return new PeerService(this);
    }
  }
}
