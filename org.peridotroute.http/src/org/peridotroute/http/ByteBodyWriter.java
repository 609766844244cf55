package org.peridotroute.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/** Writes one request body to a channel without blocking. */
final class ByteBodyWriter implements ChannelListener<StreamSinkChannel> {
  private final ByteBuffer remaining;
  private final Consumer<IOException> onFailure;

  ByteBodyWriter(byte[] body, Consumer<IOException> onFailure) {
    remaining = ByteBuffer.wrap(body);
    this.onFailure = onFailure;
  }

  /** Starts writing. The callback runs on the calling thread or on the channel's I/O thread. */
  void write(StreamSinkChannel channel) {
    handleEvent(channel);
  }

  @Override
  public void handleEvent(StreamSinkChannel channel) {
    try {
      while (remaining.hasRemaining()) {
        if (channel.write(remaining) == 0) {
          channel.getWriteSetter().set(this);
          channel.resumeWrites();
          return;
        }
      }
      channel.shutdownWrites();
      if (!channel.flush()) {
        channel
            .getWriteSetter()
            .set(
                ChannelListeners.flushingChannelListener(
                    flushed -> flushed.suspendWrites(),
                    (failed, exception) -> {
                      IoUtils.safeClose(failed);
                      onFailure.accept(exception);
                    }));
        channel.resumeWrites();
      }
    } catch (IOException e) {
      onFailure.accept(e);
    }
  }
}
