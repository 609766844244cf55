/**
 * The replicated state machine: a pure, deterministic function from a state and the next log record
 * to the next state. Every VM folds the same log and so reaches the same state and the same verdict
 * on each record. Code in this package reads no clock, draws no random numbers and does no I/O. The
 * entry point is {@link org.peridotroute.fold.JobFold}.
 */
package org.peridotroute.fold;
