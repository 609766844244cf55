package org.peridotroute.lib;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A caller's specification of a job. Immutable. Submitting an equal specification under the same
 * name refers to the same job.
 *
 * @param shape shape of the gang
 * @param jobClass scheduling class; defaults to batch
 * @param idempotent whether the job may safely be run more than once; defaults to false
 * @param checkpointable whether tasks can be stopped without losing their progress
 * @param declaredRunMillis run time expected by the caller, 0 if unknown; not trusted
 * @param payload passed unchanged to each member; at most {@value #MAX_PAYLOAD_BYTES} bytes
 */
public record JobSpec(
    Shape shape,
    @JsonProperty("class") JobClass jobClass,
    boolean idempotent,
    boolean checkpointable,
    long declaredRunMillis,
    String payload) {
  /** Maximum size of a payload in bytes, in UTF-8. */
  public static final int MAX_PAYLOAD_BYTES = 32 * 1024;

  /** Maximum declared run time: 365 days, in milliseconds. */
  public static final long MAX_DECLARED_RUN_MILLIS = 365L * 24 * 3600 * 1000;

  /** Validates the fields and applies defaults. */
  @JsonCreator
  public JobSpec {
    Checks.present("job.shape", shape);
    jobClass = jobClass == null ? JobClass.BATCH : jobClass;
    Checks.range("job.declaredRunMillis", declaredRunMillis, 0, MAX_DECLARED_RUN_MILLIS);
    payload = Checks.maxBytes("job.payload", payload == null ? "" : payload, MAX_PAYLOAD_BYTES);
  }

  /**
   * Creates a builder.
   *
   * @param shape shape of the gang
   * @return a builder with defaults for all other fields
   */
  public static Builder newBuilder(Shape shape) {
    return new Builder(shape);
  }

  /** Builder of a {@link JobSpec}. Not thread-safe. */
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

    /** Sets the scheduling class. */
    public Builder setJobClass(JobClass value) {
      jobClass = value;
      return this;
    }

    /** Sets whether the job may safely be run more than once. */
    public Builder setIdempotent(boolean value) {
      idempotent = value;
      return this;
    }

    /** Sets whether tasks can be stopped without losing their progress. */
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

    /** Builds the specification. */
    public JobSpec build() {
      return new JobSpec(shape, jobClass, idempotent, checkpointable, declaredRunMillis, payload);
    }
  }
}
