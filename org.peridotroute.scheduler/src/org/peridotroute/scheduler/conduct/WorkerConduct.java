package org.peridotroute.scheduler.conduct;

/**
 * Conduct of one worker. Immutable.
 *
 * @param state how far it is trusted
 * @param suspicion the evidence against its present incarnation
 * @param level number of quarantines that the length of the next one depends on
 * @param sinceMillis steady time at which the state, or else the level, last changed
 * @param untilMillis steady time at which a quarantine ends
 * @param goodRuns runs completed during the trial
 */
public record WorkerConduct(
    ConductState state,
    Suspicion suspicion,
    int level,
    long sinceMillis,
    long untilMillis,
    int goodRuns) {
  /**
   * Weight of evidence from which a worker is doubtful. One failed run that does not fail elsewhere
   * reaches it.
   */
  static final double DOUBTFUL_WEIGHT = 3;

  /**
   * Weight of evidence from which a worker is quarantined: about two independent pieces, each as
   * strong as a failed run, so that no single one suffices.
   */
  static final double QUARANTINE_WEIGHT = 6;

  /** Weight of evidence below which a doubtful worker is sound again. */
  private static final double SOUND_WEIGHT = 1;

  /** Length of a first quarantine; a transient slowdown of 5 to 7 s is mostly over by then. */
  private static final long FIRST_QUARANTINE_MILLIS = 4_000;

  private static final int MAX_LEVEL = 5;

  /** Shortest time for which a worker stays doubtful. */
  private static final long MIN_DOUBTFUL_MILLIS = 5_000;

  /** Time without a quarantine after which the next one is shorter. */
  private static final long LEVEL_MILLIS = 60_000;

  /** Completed runs that end a trial. */
  private static final int TRIAL_RUNS = 3;

  /** Time after which a trial ends without enough work to judge by. */
  private static final long MAX_TRIAL_MILLIS = 10_000;

  /** Conduct of a worker that nothing is known of. */
  public static final WorkerConduct UNKNOWN =
      new WorkerConduct(ConductState.SOUND, Suspicion.NONE, 0, 0, 0, 0);

  /** Returns the conduct with a further piece of evidence. In quarantine it is not counted. */
  WorkerConduct with(EvidenceKind kind, double weight, long nowMillis) {
    return state == ConductState.QUARANTINED
        ? this
        : new WorkerConduct(
            state,
            suspicion.with(kind, weight, nowMillis),
            level,
            sinceMillis,
            untilMillis,
            goodRuns);
  }

  /** Returns the conduct after a run has completed. */
  WorkerConduct withGoodRun() {
    return state == ConductState.ON_TRIAL
        ? new WorkerConduct(state, suspicion, level, sinceMillis, untilMillis, goodRuns + 1)
        : this;
  }

  /** Returns whether the evidence suffices for a quarantine; less is needed on trial. */
  boolean deservesQuarantine(long nowMillis) {
    return switch (state) {
      case SOUND, DOUBTFUL -> suspicion.total(nowMillis) >= QUARANTINE_WEIGHT;
      case ON_TRIAL -> suspicion.total(nowMillis) >= DOUBTFUL_WEIGHT;
      case QUARANTINED -> false;
    };
  }

  /**
   * Returns what a later planner needs to know.
   *
   * @param wallMinusSteady difference between the wall clock and the steady clock
   */
  public SavedConduct toSaved(long wallMinusSteady) {
    long untilWall = state == ConductState.QUARANTINED ? untilMillis + wallMinusSteady : 0;
    return level == 0 ? SavedConduct.NONE : new SavedConduct(level, untilWall);
  }

  /** Returns whether there is evidence against the worker, or it was quarantined for some. */
  boolean isSuspect(long nowMillis) {
    return state == ConductState.QUARANTINED
        || state == ConductState.ON_TRIAL
        || suspicion.total(nowMillis) >= DOUBTFUL_WEIGHT;
  }

  /** Returns the conduct of a worker whose quarantine begins. Repeated ones last longer. */
  WorkerConduct quarantined(long nowMillis) {
    return new WorkerConduct(
        ConductState.QUARANTINED,
        Suspicion.NONE,
        Math.min(MAX_LEVEL, level + 1),
        nowMillis,
        nowMillis + (FIRST_QUARANTINE_MILLIS << Math.min(MAX_LEVEL - 1, level)),
        0);
  }

  /** Returns the conduct of a worker that is no longer accused alone. */
  WorkerConduct doubtful(long nowMillis) {
    return state == ConductState.DOUBTFUL
        ? this
        : new WorkerConduct(ConductState.DOUBTFUL, suspicion, level, nowMillis, 0, 0);
  }

  /** Returns the conduct of a worker that deserves a quarantine and cannot get one. */
  WorkerConduct spared(long nowMillis) {
    return state == ConductState.ON_TRIAL ? this : doubtful(nowMillis);
  }

  /**
   * Returns the conduct of the next incarnation. Evidence is not carried over, but the successor of
   * a worker that was not sound starts doubtful.
   */
  WorkerConduct nextIncarnation(long nowMillis) {
    if (state == ConductState.SOUND && !isSuspect(nowMillis)) {
      return UNKNOWN;
    }
    Suspicion initial = Suspicion.NONE.with(EvidenceKind.FLAP, DOUBTFUL_WEIGHT, nowMillis);
    return new WorkerConduct(ConductState.DOUBTFUL, initial, level, nowMillis, 0, 0);
  }

  /** Returns the conduct after the changes that depend on time and on little evidence. */
  WorkerConduct atTime(long nowMillis) {
    double weight = suspicion.total(nowMillis);
    return switch (state) {
      case SOUND -> weight >= DOUBTFUL_WEIGHT ? doubtful(nowMillis) : withLowerLevel(nowMillis);
      case DOUBTFUL -> {
        boolean isSound = weight < SOUND_WEIGHT && nowMillis - sinceMillis >= MIN_DOUBTFUL_MILLIS;
        yield isSound
            ? new WorkerConduct(ConductState.SOUND, suspicion, level, nowMillis, 0, 0)
            : this;
      }
      case ON_TRIAL -> {
        boolean ends = goodRuns >= TRIAL_RUNS || nowMillis - sinceMillis >= MAX_TRIAL_MILLIS;
        yield ends ? doubtful(nowMillis) : this;
      }
      case QUARANTINED ->
          nowMillis < untilMillis
              ? this
              : new WorkerConduct(ConductState.ON_TRIAL, Suspicion.NONE, level, nowMillis, 0, 0);
    };
  }

  private WorkerConduct withLowerLevel(long nowMillis) {
    boolean lower = level > 0 && nowMillis - sinceMillis >= LEVEL_MILLIS;
    return lower ? new WorkerConduct(state, suspicion, level - 1, nowMillis, 0, 0) : this;
  }
}
