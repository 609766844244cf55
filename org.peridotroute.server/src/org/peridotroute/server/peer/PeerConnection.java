package org.peridotroute.server.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.peridotroute.proto.PeerFrame;
import org.peridotroute.proto.PeerStatus;
import org.peridotroute.proto.StateRequest;
import org.peridotroute.snapshot.Snapshot;
import org.peridotroute.snapshot.SnapshotAssembler;

/**
 * The connection to one peer, opened again when it is lost or has gone silent. A status is answered
 * with a status on the same connection, so that silence shows on each connection by itself. Used by
 * the event loop's thread.
 */
final class PeerConnection {
  private static final int CONNECT_MILLIS = 1_000;

  private final String address;
  private final long silentMillis;
  private final Consumer<PeerStatus> onStatus;
  private final Bootstrap bootstrap;
  private final List<CompletableFuture<Optional<Snapshot>>> stateRequests = new ArrayList<>();
  private SnapshotAssembler assembler = new SnapshotAssembler();
  private Channel channel;
  private boolean connecting;
  private long heardNanos;

  PeerConnection(
      String address,
      EventLoopGroup group,
      long silentMillis,
      TrafficCounter traffic,
      Consumer<PeerStatus> onStatus) {
    this.address = address;
    this.silentMillis = silentMillis;
    this.onStatus = onStatus;
    bootstrap =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel fresh) {
                    FrameCodec.addTo(fresh.pipeline(), traffic);
                    fresh.pipeline().addLast(new Replies());
                  }
                });
  }

  String address() {
    return address;
  }

  /** Sends a status, or opens a connection for the next one. */
  void send(PeerStatus status) {
    if (channel != null && isSilent()) {
      close();
    }
    if (channel == null) {
      connect();
      return;
    }
    var unused = channel.writeAndFlush(PeerFrame.newBuilder().setStatus(status).build());
  }

  /** Asks for the whole state; completes empty where there is no connection. */
  CompletableFuture<Optional<Snapshot>> requestState() {
    if (channel == null) {
      connect();
      return CompletableFuture.completedFuture(Optional.empty());
    }
    CompletableFuture<Optional<Snapshot>> reply = new CompletableFuture<>();
    stateRequests.add(reply);
    var unused =
        channel.writeAndFlush(
            PeerFrame.newBuilder().setStateRequest(StateRequest.getDefaultInstance()).build());
    return reply;
  }

  void close() {
    if (channel != null) {
      var unused = channel.close();
      channel = null;
    }
    stateRequests.forEach(reply -> reply.complete(Optional.empty()));
    stateRequests.clear();
  }

  private boolean isSilent() {
    return System.nanoTime() - heardNanos > TimeUnit.MILLISECONDS.toNanos(silentMillis);
  }

  private void connect() {
    if (connecting) {
      return;
    }
    connecting = true;
    int colon = address.lastIndexOf(':');
    int port = Integer.parseInt(address.substring(colon + 1));
    bootstrap
        .connect(address.substring(0, colon), port)
        .addListener(
            (ChannelFuture done) -> {
              connecting = false;
              if (done.isSuccess()) {
                channel = done.channel();
                heardNanos = System.nanoTime();
              }
            });
  }

  /** Takes what the peer answers. */
  private final class Replies extends SimpleChannelInboundHandler<PeerFrame> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, PeerFrame frame) {
      heardNanos = System.nanoTime();
      if (frame.hasStatus()) {
        onStatus.accept(frame.getStatus());
      }
      if (frame.hasStateChunk()) {
        assembler.add(frame.getStateChunk().getText());
        assembler.newest().ifPresent(this::deliver);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (context.channel() == channel) {
        close();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      var unused = context.close();
    }

    private void deliver(Snapshot snapshot) {
      assembler = new SnapshotAssembler();
      stateRequests.forEach(reply -> reply.complete(Optional.of(snapshot)));
      stateRequests.clear();
    }
  }
}
