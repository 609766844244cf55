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
 * Outgoing connection to one peer. It is reopened when it is lost or nothing was received on it
 * within the timeout. The peer replies to each status with its own status on the same connection,
 * so that a dead connection is detected independently of others. Used only by the event loop's
 * thread.
 */
final class PeerConnection {
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  private final String address;
  private final long timeoutMillis;
  private final Consumer<PeerStatus> onStatus;
  private final Bootstrap bootstrap;
  private final List<CompletableFuture<Optional<Snapshot>>> pendingStateRequests =
      new ArrayList<>();
  private SnapshotAssembler assembler = new SnapshotAssembler();
  private Channel channel;
  private boolean connecting;
  private long lastReceivedNanos;

  PeerConnection(
      String address,
      EventLoopGroup group,
      long timeoutMillis,
      TrafficCounter traffic,
      Consumer<PeerStatus> onStatus) {
    this.address = address;
    this.timeoutMillis = timeoutMillis;
    this.onStatus = onStatus;
    bootstrap =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel newChannel) {
                    FrameCodec.addTo(newChannel.pipeline(), traffic);
                    newChannel.pipeline().addLast(new ReplyHandler());
                  }
                });
  }

  String address() {
    return address;
  }

  /** Sends a status if connected; otherwise opens the connection for the next one. */
  void send(PeerStatus status) {
    if (channel != null && isTimedOut()) {
      close();
    }
    if (channel == null) {
      connect();
      return;
    }
    var unused = channel.writeAndFlush(PeerFrame.newBuilder().setStatus(status).build());
  }

  /** Requests the peer's whole state; completes empty if there is no connection or it is lost. */
  CompletableFuture<Optional<Snapshot>> requestState() {
    if (channel == null) {
      connect();
      return CompletableFuture.completedFuture(Optional.empty());
    }
    CompletableFuture<Optional<Snapshot>> reply = new CompletableFuture<>();
    pendingStateRequests.add(reply);
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
    pendingStateRequests.forEach(reply -> reply.complete(Optional.empty()));
    pendingStateRequests.clear();
  }

  private boolean isTimedOut() {
    return System.nanoTime() - lastReceivedNanos > TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
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
                lastReceivedNanos = System.nanoTime();
              }
            });
  }

  /** Handles the peer's replies. */
  private final class ReplyHandler extends SimpleChannelInboundHandler<PeerFrame> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, PeerFrame frame) {
      lastReceivedNanos = System.nanoTime();
      if (frame.hasStatus()) {
        onStatus.accept(frame.getStatus());
      }
      if (frame.hasStateChunk()) {
        assembler.add(frame.getStateChunk().getText());
        assembler.newest().ifPresent(this::onState);
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

    private void onState(Snapshot snapshot) {
      assembler = new SnapshotAssembler();
      pendingStateRequests.forEach(reply -> reply.complete(Optional.of(snapshot)));
      pendingStateRequests.clear();
    }
  }
}
