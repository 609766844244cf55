package org.peridotroute.fold;

import org.pcollections.TreePMap;
import org.peridotroute.journal.Envelope;
import org.peridotroute.journal.LogEntry;
import org.peridotroute.journal.LogRecord;
import org.peridotroute.lib.OrganisationId;

/**
 * The fold over the configuration stream. Configuration is in force by offset, so it never goes
 * back; of operators that race, the one whose record comes first wins. Stateless.
 */
public final class ConfigFold {
  /** Organisations kept. */
  public static final int MAX_ORGANISATIONS = 1_000;

  private ConfigFold() {}

  /**
   * Folds one record in.
   *
   * @param state the state so far
   * @param entry the next record
   * @return the next state and the verdict; a refused record moves the offset alone
   */
  public static FoldResult<ConfigState> fold(ConfigState state, LogEntry entry) {
    Envelope envelope = entry.envelope();
    if (state.writers().hasSeen(envelope)) {
      return new FoldResult<>(at(state, entry, state.writers()), Verdict.REPEATED);
    }
    WriterSequences writers =
        state.writers().plus(envelope.writer(), envelope.sequence(), entry.offset());
    ConfigState marked = at(state, entry, writers);
    if (envelope.record() instanceof LogRecord.OrganisationPut put) {
      return put(marked, put);
    }
    if (envelope.record() instanceof LogRecord.OrganisationDeleted deleted) {
      return delete(marked, deleted);
    }
    return new FoldResult<>(marked, Verdict.WRONG_STREAM);
  }

  private static ConfigState at(ConfigState state, LogEntry entry, WriterSequences writers) {
    return new ConfigState(entry.offset(), state.organisations(), writers);
  }

  private static FoldResult<ConfigState> put(ConfigState state, LogRecord.OrganisationPut record) {
    ConfigState.DeclaredOrganisation known = state.organisations().get(record.id());
    if (revision(known) != record.expectedRevision()) {
      return new FoldResult<>(state, Verdict.LOST_RACE);
    }
    if (known == null && state.organisations().size() >= MAX_ORGANISATIONS) {
      return new FoldResult<>(state, Verdict.FULL);
    }
    ConfigState.DeclaredOrganisation next =
        new ConfigState.DeclaredOrganisation(record.organisation(), state.offset());
    return accepted(state, state.organisations().plus(record.id(), next));
  }

  private static FoldResult<ConfigState> delete(
      ConfigState state, LogRecord.OrganisationDeleted record) {
    ConfigState.DeclaredOrganisation known = state.organisations().get(record.id());
    if (known == null) {
      return new FoldResult<>(state, Verdict.NOT_FOUND);
    }
    if (known.revision() != record.expectedRevision()) {
      return new FoldResult<>(state, Verdict.LOST_RACE);
    }
    return accepted(state, state.organisations().minus(record.id()));
  }

  private static long revision(ConfigState.DeclaredOrganisation declared) {
    return declared == null ? 0 : declared.revision();
  }

  private static FoldResult<ConfigState> accepted(
      ConfigState state, TreePMap<OrganisationId, ConfigState.DeclaredOrganisation> organisations) {
    return new FoldResult<>(
        new ConfigState(state.offset(), organisations, state.writers()), Verdict.ACCEPTED);
  }
}
