package org.peridotroute.lib;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * What a caller asks for. Immutable; equal specs under one name are the same job.
 *
 * @param shape the gang's shape
 * @param jobClass the class; batch where absent
 * @param idempotent whether a second run does no harm; false where absent
 * @param checkpointable whether tasks can be stopped with their progress kept
 * @param declaredRunMillis run time the caller expects, 0 where unknown; not believed
 * @param payload handed to each member as it is; at most {@value #MAX_PAYLOAD_BYTES} bytes
 */
public record JobSpec(
    Shape shape,
    @JsonProperty("class") JobClass jobClass,
    boolean idempotent,
    boolean checkpointable,
    long declaredRunMillis,
    String payload) {
  /** Most bytes of a payload, in UTF-8. */
  public static final int MAX_PAYLOAD_BYTES = 32 * 1024;

  /** Longest run time that can be declared: a year, in milliseconds. */
  public static final long MAX_DECLARED_RUN_MILLIS = 365L * 24 * 3600 * 1000;

  /** Checks the ranges and fills defaults in. */
  @JsonCreator
  public JobSpec {
    Checks.present("job.shape", shape);
    jobClass = jobClass == null ? JobClass.BATCH : jobClass;
    Checks.range("job.declaredRunMillis", declaredRunMillis, 0, MAX_DECLARED_RUN_MILLIS);
    payload = Checks.maxBytes("job.payload", payload == null ? "" : payload, MAX_PAYLOAD_BYTES);
  }

  /**
   * Starts a spec.
   *
   * @param shape the gang's shape
   * @return a builder with every other field at its default
   */
  public static Builder newBuilder(Shape shape) {
    return new Builder(shape);
  }

  /** Builder of a {@link JobSpec}. Not safe for use by several threads. */
  public static final class Builder {
    private final Shape shape;
    private JobClass jobClass = JobClass.BATCH;
    private boolean idempotent;
    private boolean checkpointable;
    private long declaredRunMillis;
    private String payload = "";

    private Builder(Shape shape) {
      this.shape = shape;
    }

    /** Sets the class. */
    public Builder setJobClass(JobClass value) {
      jobClass = value;
      return this;
    }

    /** Sets whether a second run does no harm. */
    public Builder setIdempotent(boolean value) {
      idempotent = value;
      return this;
    }

    /** Sets whether tasks can be stopped with their progress kept. */
    public Builder setCheckpointable(boolean value) {
      checkpointable = value;
      return this;
    }

    /** Sets the declared run time in milliseconds. */
    public Builder setDeclaredRunMillis(long value) {
      declaredRunMillis = value;
      return this;
    }

    /** Sets the payload. */
    public Builder setPayload(String value) {
      payload = value;
      return this;
    }

    /** Returns the spec. */
    public JobSpec build() {
      return new JobSpec(shape, jobClass, idempotent, checkpointable, declaredRunMillis, payload);
    }
  }
}
