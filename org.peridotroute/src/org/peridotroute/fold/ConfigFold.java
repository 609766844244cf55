package org.peridotroute.fold;

import org.pcollections.TreePMap;
import org.peridotroute.journal.Envelope;
import org.peridotroute.journal.LogEntry;
import org.peridotroute.journal.LogRecord;
import org.peridotroute.lib.OrganisationId;

/**
 * Folds the configuration stream into {@link ConfigState}. Configuration takes effect in offset
 * order and therefore never reverts. When operators update an organisation concurrently, the record
 * with the lowest offset wins. Stateless.
 */
public final class ConfigFold {
  /** Maximum number of declared organisations. */
  public static final int MAX_ORGANISATIONS = 1_000;

  private ConfigFold() {}

  /**
   * Applies one record to the state.
   *
   * @param state the state before the record
   * @param entry the record at the next offset
   * @return the next state and the verdict; a record that is not accepted changes only the offset
   *     and the writer sequences
   */
  public static FoldResult<ConfigState> fold(ConfigState state, LogEntry entry) {
    Envelope envelope = entry.envelope();
    if (state.writers().hasSeen(envelope)) {
      return new FoldResult<>(advance(state, entry, state.writers()), Verdict.REPEATED);
    }
    WriterSequences writers =
        state.writers().plus(envelope.writer(), envelope.sequence(), entry.offset());
    ConfigState advanced = advance(state, entry, writers);
    if (envelope.record() instanceof LogRecord.OrganisationPut put) {
      return put(advanced, put);
    }
    if (envelope.record() instanceof LogRecord.OrganisationDeleted deleted) {
      return delete(advanced, deleted);
    }
    return new FoldResult<>(advanced, Verdict.WRONG_STREAM);
  }

  private static ConfigState advance(ConfigState state, LogEntry entry, WriterSequences writers) {
    return new ConfigState(entry.offset(), state.organisations(), writers);
  }

  private static FoldResult<ConfigState> put(ConfigState state, LogRecord.OrganisationPut record) {
    ConfigState.DeclaredOrganisation existing = state.organisations().get(record.id());
    if (revision(existing) != record.expectedRevision()) {
      return new FoldResult<>(state, Verdict.LOST_RACE);
    }
    if (existing == null && state.organisations().size() >= MAX_ORGANISATIONS) {
      return new FoldResult<>(state, Verdict.FULL);
    }
    ConfigState.DeclaredOrganisation next =
        new ConfigState.DeclaredOrganisation(record.organisation(), state.offset());
    return accepted(state, state.organisations().plus(record.id(), next));
  }

  private static FoldResult<ConfigState> delete(
      ConfigState state, LogRecord.OrganisationDeleted record) {
    ConfigState.DeclaredOrganisation existing = state.organisations().get(record.id());
    if (existing == null) {
      return new FoldResult<>(state, Verdict.NOT_FOUND);
    }
    if (existing.revision() != record.expectedRevision()) {
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
