package org.peridotroute.server.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.MessageToMessageCodec;
import java.io.IOException;
import java.util.List;
import org.peridotroute.proto.PeerFrame;

/** Encodes protobuf messages as length-prefixed frames and decodes them. */
final class FrameCodec extends MessageToMessageCodec<ByteBuf, PeerFrame> {
  private static final int MAX_FRAME_BYTES = 256 * 1024;
  private static final int LENGTH_FIELD_BYTES = 4;

  private final TrafficCounter traffic;

  private FrameCodec(TrafficCounter traffic) {
    this.traffic = traffic;
  }

  static void addTo(ChannelPipeline pipeline, TrafficCounter traffic) {
    pipeline.addLast(
        new LengthFieldBasedFrameDecoder(
            MAX_FRAME_BYTES, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES),
        new LengthFieldPrepender(LENGTH_FIELD_BYTES),
        new FrameCodec(traffic));
  }

  @Override
  protected void encode(ChannelHandlerContext context, PeerFrame frame, List<Object> out)
      throws IOException {
    traffic.add(LENGTH_FIELD_BYTES + frame.getSerializedSize());
    ByteBuf buffer = context.alloc().buffer(frame.getSerializedSize());
    try (ByteBufOutputStream stream = new ByteBufOutputStream(buffer)) {
      frame.writeTo(stream);
    }
    out.add(buffer);
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out)
      throws IOException {
    traffic.add(LENGTH_FIELD_BYTES + buffer.readableBytes());
    try (ByteBufInputStream stream = new ByteBufInputStream(buffer)) {
      out.add(PeerFrame.parseFrom(stream));
    }
  }
}
