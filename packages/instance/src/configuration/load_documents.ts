import {getErrorMessage, type Logger} from '@primrosestage/common';
import {
  createInitialDocument,
  type InitialPresets,
  parseTeamDocument,
  type Store,
  TEAM_KEY_PREFIX,
  type TeamDocument,
} from '@primrosestage/control';
import {ConfigurationSource} from '@primrosestage/steering';

/** Configures loading of the documents at start. */
export interface LoadDocumentsOptions {
  store: Store;
  logger: Logger;
  /** Teams with their initial presets from the settings. */
  teams: ReadonlyArray<InitialPresets & {name: string}>;
  /** Gets the document in force of a team. */
  getDocument: (team: string) => TeamDocument | undefined;
  /** Applies a document. */
  apply: (team: string, value: unknown, source: ConfigurationSource) => void;
  /** Pulls documents from some peers; never rejects. */
  pullFromPeers: () => Promise<void>;
}

/**
 * Tries once to load the documents of all teams from the store, with peers as fallback.
 * @param options - Store, teams and peers.
 * @returns Whether the store was available for every team.
 */
export async function loadDocuments(
  options: LoadDocumentsOptions,
): Promise<boolean> {
  try {
    for (const team of options.teams) await loadTeam(options, team);
    return true;
  } catch (err) {
    options.logger.warn('store unavailable; pulling documents from peers', {
      message: getErrorMessage(err),
    });
    await options.pullFromPeers();
    return false;
  }
}

async function loadTeam(
  options: LoadDocumentsOptions,
  team: InitialPresets & {name: string},
): Promise<void> {
  const {store, apply, getDocument} = options;
  const key = `${TEAM_KEY_PREFIX}${team.name}`;
  const entry = await store.get(key);
  if (entry) {
    apply(team.name, entry.value, ConfigurationSource.Store);
    return;
  }
  // Pulls first: if the store lost its data, the revision in force must not restart at 1.
  await options.pullFromPeers();
  const document = getDocument(team.name) ?? createInitialDocument(team);
  const version = await store.put(key, document, 0);
  const storedEntry = version === undefined ? await store.get(key) : undefined;
  const value = version === undefined ? storedEntry?.value : document;
  if (parseTeamDocument(value)) {
    apply(team.name, value, ConfigurationSource.Store);
  }
}
