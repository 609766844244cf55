package org.peridotroute.fold;

/**
 * What came of one record.
 *
 * @param state the next state
 * @param verdict what became of the record
 * @param <S> the kind of state
 */
public record FoldResult<S>(S state, Verdict verdict) {}
