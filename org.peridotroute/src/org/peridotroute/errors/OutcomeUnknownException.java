package org.peridotroute.errors;

/** A proposal was sent but never read back, so that nobody can say whether it took effect. */
public final class OutcomeUnknownException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** Creates the exception. */
  public OutcomeUnknownException() {
    super(Messages.OUTCOME_UNKNOWN);
  }
}
