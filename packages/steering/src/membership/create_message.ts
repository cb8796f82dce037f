import {
  getEndpointLimit,
  type PeerStatement,
  Phase,
} from '../ownership/index.js';
import {createUpdate, type Draft} from './draft.js';
import {MemberStatus, type MemberUpdate} from './member.js';
import type {MembershipMessage} from './membership_message.js';
import type {MembershipConfig, MembershipState} from './membership_state.js';

/** Maximum number of updates in one message. */
const MAX_UPDATES = 16;
/** Unchanged members added to each message, so that a receiver learns of updates that it missed. */
const ANTI_ENTROPY_UPDATES = 2;

/**
 * Creates a message to another instance and decrements the send counts of its updates.
 * @param draft - The state, whose update queue is modified.
 * @param receiverId - Id of the receiver.
 * @returns The message.
 */
export function createMessage(
  draft: Draft,
  receiverId: string,
): MembershipMessage {
  const {config, now} = draft;
  const updates = dequeueUpdates(draft, receiverId);
  const {state} = draft;
  const contact = state.ownership.contacts.get(receiverId);
  return {
    info: contact?.hasAcked ? undefined : config.self,
    statement: createStatement(state, now, config),
    refutation: state.refutation,
    isLeaving: state.isLeaving,
    stamp: {
      incarnation: config.ownership.incarnation,
      at: Math.floor(now),
    },
    echo: state.clockStamps.get(receiverId),
    receiverIncarnation: contact?.isGone ? undefined : contact?.incarnation,
    uncleanMs: Math.max(0, (contact?.orphanedRequestsUntil ?? -Infinity) - now),
    updates,
  };
}

/**
 * Creates the last message of a process that is stopping.
 * @param draft - The state, whose update queue is modified.
 * @param receiverId - Id of the receiver.
 * @param isClean - Whether all requests to endpoints have finished.
 * @returns The message.
 */
export function createGoodbye(
  draft: Draft,
  receiverId: string,
  isClean: boolean,
): MembershipMessage {
  return {...createMessage(draft, receiverId), goodbye: {isClean}};
}

function createStatement(
  state: MembershipState,
  now: number,
  config: MembershipConfig,
): PeerStatement {
  const {ownership} = state;
  const configuredIds = new Set(config.ownership.peers);
  return {
    id: config.self.id,
    incarnation: config.ownership.incarnation,
    phase: ownership.phase,
    digest: config.ownership.digest,
    ageMs: Math.floor(now - ownership.startedAt),
    excess: getExcess(state, now, config),
    additions: [...ownership.contacts]
      .filter(([id, {isGone}]) => !isGone && !configuredIds.has(id))
      .map(([id]) => id),
  };
}

function getExcess(
  state: MembershipState,
  now: number,
  config: MembershipConfig,
): Record<string, number> {
  const excess: Record<string, number> = {};
  for (const [endpointId, inFlight] of config.getInFlight()) {
    const overLimit = inFlight - getLimit(state, endpointId, now, config);
    if (overLimit > 0) excess[endpointId] = overLimit;
  }
  return excess;
}

/**
 * Gets this instance's limit for an endpoint.
 * @param state - The membership state.
 * @param endpointId - Id of the endpoint.
 * @param now - Monotonic time in milliseconds.
 * @param config - The instance and the settings.
 * @returns Maximum number of requests in flight; 0 if this instance may not admit requests to
 *   the endpoint.
 */
export function getLimit(
  state: MembershipState,
  endpointId: string,
  now: number,
  config: MembershipConfig,
): number {
  const slots = config.endpoints.get(endpointId)?.slots ?? 0;
  const order = state.orders.get(endpointId) ?? [];
  return getEndpointLimit(
    state.ownership,
    {endpointId, slots, order},
    now,
    config.ownership,
  );
}

/**
 * Selects the updates for a message. If the receiver is suspected or removed, the update about it
 * comes first, because only the receiver can refute it.
 */
function dequeueUpdates(draft: Draft, receiverId: string): MemberUpdate[] {
  const receiver = draft.members.get(receiverId);
  const isReportedDown =
    receiver?.status === MemberStatus.Suspected ||
    receiver?.status === MemberStatus.Removed;
  const receiverUpdates =
    receiver && isReportedDown ? [createUpdate(receiver)] : [];
  const selected = [...draft.updates]
    .filter(([id]) => id !== receiverId)
    .sort(([, a], [, b]) => b.sendsLeft - a.sendsLeft)
    .slice(0, MAX_UPDATES - receiverUpdates.length);
  for (const [id, {update, sendsLeft}] of selected) {
    const remaining = sendsLeft - 1;
    draft.setUpdate(
      id,
      remaining > 0 ? {update, sendsLeft: remaining} : undefined,
    );
  }
  const updates = [
    ...receiverUpdates,
    ...selected.map(([, {update}]) => update),
  ];
  const excludedIds = new Set([receiverId, ...updates.map(({id}) => id)]);
  return [
    ...updates,
    ...selectAntiEntropyUpdates(draft, excludedIds, updates.length),
  ];
}

/** Selects unchanged members; a joining receiver gets as many as fit, because it knows none. */
function selectAntiEntropyUpdates(
  draft: Draft,
  excludedIds: ReadonlySet<string>,
  updateCount: number,
): MemberUpdate[] {
  const {state, config} = draft;
  const [receiverId = ''] = excludedIds;
  const isJoining =
    (state.members.get(receiverId)?.phase ?? Phase.Joining) === Phase.Joining;
  const count = Math.min(
    MAX_UPDATES - updateCount,
    isJoining ? MAX_UPDATES : ANTI_ENTROPY_UPDATES,
  );
  const ids = [...draft.members.keys()];
  const selected: MemberUpdate[] = [];
  const start = Math.floor(config.random() * ids.length);
  for (let i = 0; i < ids.length && selected.length < count; i++) {
    const id = ids[(start + i) % ids.length] ?? '';
    const member = draft.members.get(id);
    if (!member || member.incarnation === 0 || excludedIds.has(id)) continue;
    selected.push(createUpdate(member));
  }
  return selected;
}
