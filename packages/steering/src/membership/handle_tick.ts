import {OwnershipEventType} from '../ownership/index.js';
import {createMessage} from './create_message.js';
import type {Draft} from './draft.js';
import {MemberStatus} from './member.js';
import {
  type MembershipAction,
  MembershipActionType,
} from './membership_action.js';
import {pick, selectTargets} from './select_targets.js';

/** Number of members that probe the target of an unacknowledged heartbeat on request. */
const INDIRECT_PINGS = 2;
/** Heartbeat intervals without any acknowledgement after which a member is suspected. */
export const SUSPECT_AFTER_HEARTBEATS = 2;
/** Heartbeat intervals between two ticks beyond which this process is considered paused. */
const PAUSE_AFTER_HEARTBEATS = 2;

/**
 * Sends due heartbeats and indirect pings, suspects and removes members.
 * @param draft - The state.
 * @returns The messages to send.
 */
export function handleTick(draft: Draft): MembershipAction[] {
  const {config, now} = draft;
  compensateForPause(draft);
  draft.set({lastTickAt: now});
  draft.applyOwnership({type: OwnershipEventType.Tick});
  removeExpiredSuspects(draft);
  const actions = checkPendingPings(draft);
  if (now >= draft.state.nextHeartbeatAt) {
    actions.push(...sendHeartbeat(draft));
    draft.set({nextHeartbeatAt: now + config.heartbeatMs});
  }
  return actions;
}

/**
 * Discards pending heartbeats and extends suspicions after a pause of this process, because
 * missing acknowledgements during the pause are no evidence against other members.
 */
function compensateForPause(draft: Draft): void {
  const {config, now, state} = draft;
  const gapMs = now - state.lastTickAt;
  if (gapMs <= PAUSE_AFTER_HEARTBEATS * config.heartbeatMs) return;
  draft.set({pendingPings: new Map()});
  for (const [id, member] of draft.members) {
    if (member.status !== MemberStatus.Suspected) continue;
    draft.setMember(id, {
      ...member,
      statusChangedAt: member.statusChangedAt + gapMs,
    });
  }
}

function removeExpiredSuspects(draft: Draft): void {
  const {config, now} = draft;
  for (const [id, {status, statusChangedAt}] of draft.members) {
    const isDue = now >= statusChangedAt + config.suspicionMs;
    if (status !== MemberStatus.Suspected || !isDue) continue;
    draft.changeMember(id, {status: MemberStatus.Removed});
  }
}

function checkPendingPings(draft: Draft): MembershipAction[] {
  const {config, now} = draft;
  const actions: MembershipAction[] = [];
  for (const [pingId, ping] of draft.pendingPings) {
    const ageMs = now - ping.sentAt;
    if (ageMs >= SUSPECT_AFTER_HEARTBEATS * config.heartbeatMs) {
      draft.setPendingPing(pingId, undefined);
      if (draft.members.get(ping.targetId)?.status === MemberStatus.Alive) {
        draft.changeMember(ping.targetId, {status: MemberStatus.Suspected});
      }
    } else if (ageMs >= config.heartbeatMs / 2 && !ping.isIndirect) {
      draft.setPendingPing(pingId, {...ping, isIndirect: true});
      actions.push(...requestIndirectPings(draft, pingId, ping.targetId));
    }
  }
  return actions;
}

function requestIndirectPings(
  draft: Draft,
  pingId: number,
  targetId: string,
): MembershipAction[] {
  const {config, members} = draft;
  const target = members.get(targetId);
  if (target?.status !== MemberStatus.Alive) return [];
  const others = [...members.values()].filter(
    ({info, status}) => info.id !== targetId && status === MemberStatus.Alive,
  );
  const inTargetZone = others.filter(
    ({info}) => info.zone === target.info.zone,
  );
  const inOwnZone = others.filter(({info}) => info.zone === config.self.zone);
  const actions: MembershipAction[] = [];
  const relayIds = new Set<string>();
  for (const group of [inOwnZone, inTargetZone, others, others]) {
    const remaining = group.filter(({info}) => !relayIds.has(info.id));
    const via = pick(remaining, config.random)?.info;
    if (!via || relayIds.size === INDIRECT_PINGS) continue;
    relayIds.add(via.id);
    actions.push({
      type: MembershipActionType.PingIndirectly,
      pingId,
      via,
      target: target.info,
    });
  }
  return actions;
}

function sendHeartbeat(draft: Draft): MembershipAction[] {
  const {now} = draft;
  const actions: MembershipAction[] = [];
  for (const id of selectTargets(draft)) {
    const target = draft.members.get(id);
    if (!target) continue;
    const pingId = draft.state.pingCount + 1;
    draft.set({pingCount: pingId});
    draft.setPendingPing(pingId, {
      targetId: id,
      sentAt: now,
      isIndirect: false,
    });
    const message = createMessage(draft, id);
    actions.push({
      type: MembershipActionType.Ping,
      pingId,
      target: target.info,
      sentAt: now,
      sentPhase: draft.state.ownership.phase,
      message,
    });
  }
  draft.set({heartbeatCount: draft.state.heartbeatCount + 1});
  return actions;
}
