package org.peridotroute.errors;

/** Thrown if a proposal was sent but not read back, so that it may or may not have taken effect. */
public final class OutcomeUnknownException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** Creates the exception. */
  public OutcomeUnknownException() {
    super(Messages.OUTCOME_UNKNOWN);
  }
}
