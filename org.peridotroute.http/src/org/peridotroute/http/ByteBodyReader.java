package org.peridotroute.http;

import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSourceChannel;

/** Reads one response body from a channel to its end without blocking. */
final class ByteBodyReader implements ChannelListener<StreamSourceChannel> {
  private final ByteBufferPool pool;
  private final Runnable onProgress;
  private final Consumer<byte[]> onComplete;
  private final Consumer<IOException> onFailure;
  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

  /**
   * Creates a reader.
   *
   * @param onProgress run after each part of the body but the last
   * @param onComplete receives the whole body
   * @param onFailure receives the failure of a read
   */
  ByteBodyReader(
      ByteBufferPool pool,
      Runnable onProgress,
      Consumer<byte[]> onComplete,
      Consumer<IOException> onFailure) {
    this.pool = pool;
    this.onProgress = onProgress;
    this.onComplete = onComplete;
    this.onFailure = onFailure;
  }

  /** Starts reading. The callbacks run on the calling thread or on the channel's I/O thread. */
  void read(StreamSourceChannel channel) {
    if (!drain(channel)) {
      channel.getReadSetter().set(this);
      channel.resumeReads();
    }
  }

  @Override
  public void handleEvent(StreamSourceChannel channel) {
    drain(channel);
  }

  /** Reads the available bytes. Returns true at the end of the body or on a read error. */
  private boolean drain(StreamSourceChannel channel) {
    try (PooledByteBuffer pooled = pool.allocate()) {
      ByteBuffer buffer = pooled.getBuffer();
      while (true) {
        int count = channel.read(buffer);
        if (count == 0) {
          onProgress.run();
          return false;
        }
        if (count < 0) {
          IoUtils.safeClose(channel);
          onComplete.accept(bytes.toByteArray());
          return true;
        }
        buffer.flip();
        bytes.write(buffer.array(), buffer.arrayOffset(), buffer.limit());
        buffer.clear();
      }
    } catch (IOException e) {
      onFailure.accept(e);
      return true;
    }
  }
}
