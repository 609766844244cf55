package org.peridotroute.scheduler.model;

import java.util.List;
import org.peridotroute.errors.InvalidValueException;
import org.peridotroute.lib.Checks;

/**
 * Declaration of a step, which is a number of tasks of the same kind. Immutable. Created with
 * {@link #newBuilder}.
 *
 * @param count number of tasks, 1 to {@value #MAX_TASKS}
 * @param need resources that each task needs
 * @param estimateMillis duration of a task as estimated by the caller, in milliseconds; 0 if
 *     unknown
 * @param after numbers of the earlier steps that must succeed before this one starts
 * @param checkpoints whether tasks write checkpoints and can resume from them
 * @param gang whether the tasks form a gang, which starts and ends as a whole
 * @param sameRack whether tasks run slower when they are spread over several racks
 * @param requiredLabel label that a worker must have, null for none
 * @param dataRack rack that holds the input, null for none; tasks on other racks run slower
 * @param maxPerWorker maximum number of tasks of the step on one worker, 0 for no limit
 * @param speculative whether speculative copies of a task may run in parallel
 * @param service whether the tasks form a service, which runs until the job is cancelled
 * @param image image that the tasks run, null if not given
 * @param targetMillis target for the tail latency of a service, in milliseconds; 0 for none
 * @param background whether tasks use only processor time that other tasks leave idle
 * @param maxUnavailable maximum number of tasks of a service that may be unavailable at once, 0 for
 *     no limit
 */
public record StepSpec(
    int count,
    Capacity need,
    long estimateMillis,
    List<Integer> after,
    boolean checkpoints,
    boolean gang,
    boolean sameRack,
    String requiredLabel,
    String dataRack,
    int maxPerWorker,
    boolean speculative,
    boolean service,
    String image,
    long targetMillis,
    boolean background,
    int maxUnavailable) {
  /** Maximum number of tasks of a step; limits the memory that one job takes on a VM. */
  public static final int MAX_TASKS = 2_000;

  private static final long MAX_AMOUNT = Capacity.MAX_AMOUNT;

  /** Maximum length of a name in UTF-8 bytes, so that a job fits into one record of the log. */
  private static final int MAX_NAME_BYTES = 255;

  /** Checks the ranges. */
  public StepSpec {
    Checks.range("step.count", count, 1, MAX_TASKS);
    Checks.present("step.need", need).checkRange("step.need");
    Checks.range("step.estimateMillis", estimateMillis, 0, MAX_AMOUNT);
    Checks.range("step.maxPerWorker", maxPerWorker, 0, (int) MAX_AMOUNT);
    checkName("step.requiredLabel", requiredLabel);
    checkName("step.dataRack", dataRack);
    checkName("step.image", image);
    after = after == null ? List.of() : List.copyOf(after);
    Checks.range("step.after.length", after.size(), 0, JobRequest.MAX_STEPS);
  }

  private static void checkName(String field, String name) {
    if (name != null) {
      Checks.printable(field, name, MAX_NAME_BYTES);
    }
  }

  /**
   * Checks the dependencies.
   *
   * @param number number of this step
   * @throws InvalidValueException if the step depends on itself or on a later step
   */
  void checkAfter(int number) {
    for (int earlier : after) {
      Checks.range("step.after", earlier, 0, Math.max(number - 1, -1));
    }
  }

  /**
   * Returns the capacity that a task reserves on its worker. A background task reserves no
   * processor time.
   */
  public Capacity reserved() {
    return background ? new Capacity(0, need.memoryMb(), need.accelerators()) : need;
  }

  /** Returns a builder, preset to one task without needs. */
  public static Builder newBuilder() {
    return new Builder();
  }

  /** Builder of a {@link StepSpec}. Not thread-safe. */
  public static final class Builder {
    private int count = 1;
    private Capacity need = Capacity.NONE;
    private long estimateMillis;
    private List<Integer> after = List.of();
    private boolean checkpoints;
    private boolean gang;
    private boolean sameRack;
    private String requiredLabel;
    private String dataRack;
    private int maxPerWorker;
    private boolean speculative;
    private boolean service;
    private String image;
    private long targetMillis;
    private boolean background;
    private int maxUnavailable;

    private Builder() {}

    /** Sets the number of tasks. */
    public Builder setCount(int value) {
      count = value;
      return this;
    }

    /** Sets the resources that each task needs. */
    public Builder setNeed(Capacity value) {
      need = value;
      return this;
    }

    /** Sets the estimated duration of a task in milliseconds, 0 if unknown. */
    public Builder setEstimateMillis(long value) {
      estimateMillis = value;
      return this;
    }

    /** Sets the numbers of the steps that must succeed before. */
    public Builder setAfter(List<Integer> value) {
      after = value;
      return this;
    }

    /** Sets whether tasks write checkpoints. */
    public Builder setCheckpoints(boolean value) {
      checkpoints = value;
      return this;
    }

    /** Sets whether the tasks form a gang. */
    public Builder setGang(boolean value) {
      gang = value;
      return this;
    }

    /** Sets whether tasks run slower when spread over several racks. */
    public Builder setSameRack(boolean value) {
      sameRack = value;
      return this;
    }

    /** Sets the label that a worker must have. */
    public Builder setRequiredLabel(String value) {
      requiredLabel = value;
      return this;
    }

    /** Sets the rack that holds the input. */
    public Builder setDataRack(String value) {
      dataRack = value;
      return this;
    }

    /** Sets the maximum number of tasks on one worker, 0 for no limit. */
    public Builder setMaxPerWorker(int value) {
      maxPerWorker = value;
      return this;
    }

    /** Sets whether speculative copies of a task may run in parallel. */
    public Builder setSpeculative(boolean value) {
      speculative = value;
      return this;
    }

    /** Sets whether tasks run until the job is cancelled. */
    public Builder setService(boolean value) {
      service = value;
      return this;
    }

    /** Sets the image that the tasks run. */
    public Builder setImage(String value) {
      image = value;
      return this;
    }

    /** Sets the target for the tail latency in milliseconds, 0 for none. */
    public Builder setTargetMillis(long value) {
      targetMillis = value;
      return this;
    }

    /** Sets whether tasks use only processor time that other tasks leave idle. */
    public Builder setBackground(boolean value) {
      background = value;
      return this;
    }

    /** Sets the maximum number of tasks that may be unavailable at once, 0 for no limit. */
    public Builder setMaxUnavailable(int value) {
      maxUnavailable = value;
      return this;
    }

    /**
     * Returns the declaration.
     *
     * @return the declaration
     * @throws InvalidValueException if a value is out of range
     */
    public StepSpec build() {
      return new StepSpec(
          count,
          need,
          estimateMillis,
          after,
          checkpoints,
          gang,
          sameRack,
          requiredLabel,
          dataRack,
          maxPerWorker,
          speculative,
          service,
          image,
          targetMillis,
          background,
          maxUnavailable);
    }
  }
}
