package org.peridotroute.fold;

/**
 * Result of applying one record.
 *
 * @param state the state after the record
 * @param verdict whether the record was accepted, or why not
 * @param <S> type of the state
 */
public record FoldResult<S>(S state, Verdict verdict) {}
