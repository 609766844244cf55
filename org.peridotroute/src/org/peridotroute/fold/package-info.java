/**
 * The fold: a pure, deterministic function from a state and the next record to the next state.
 * Every VM folds the same log into the same state, so all reach the same verdict on each record. No
 * clock, no random number and no I/O in here. Begin with {@link org.peridotroute.fold.JobFold}.
 */
package org.peridotroute.fold;
