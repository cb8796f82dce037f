/** Identifies where a document came from. */
export enum ConfigurationSource {
  Store = 'store',
  /** Pushed through the dissemination tree. */
  Push = 'push',
  /** Pulled from a peer after a digest difference. */
  Pull = 'pull',
  /** Written by an operator through this instance. */
  Change = 'change',
}

/** Holds the fields of a document that the reducer needs. */
export interface RevisionedDocument {
  revision: number;
}

/** Holds the document of a team that is in force. */
export interface AppliedDocument<D extends RevisionedDocument> {
  document: D;
  source: ConfigurationSource;
  /** When it came into force on the monotonic clock, in milliseconds. */
  appliedAt: number;
}

/** Holds the last valid document of each team. */
export type ConfigurationState<D extends RevisionedDocument> = ReadonlyMap<
  string,
  AppliedDocument<D>
>;

/** Reports a document that arrived. */
export interface DocumentReceived<D extends RevisionedDocument> {
  team: string;
  /** The document, or undefined if it was invalid. */
  document: D | undefined;
  source: ConfigurationSource;
}

/**
 * Applies a received document if its revision is higher than the one in force.
 * @param state - The documents in force.
 * @param event - The document that arrived.
 * @param nowMs - Monotonic clock in milliseconds.
 * @returns The new state, or the same object if nothing changed.
 */
export function reduceConfiguration<D extends RevisionedDocument>(
  state: ConfigurationState<D>,
  event: DocumentReceived<D>,
  nowMs: number,
): ConfigurationState<D> {
  const {team, document, source} = event;
  const current = state.get(team);
  if (!document) return state;
  if (current && document.revision <= current.document.revision) return state;
  return new Map(state).set(team, {document, source, appliedAt: nowMs});
}
