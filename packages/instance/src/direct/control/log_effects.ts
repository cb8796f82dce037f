import type {EventLogger} from '@primrosestage/common';
import {
  EndpointEffect,
  type ControlView,
  type ViewEffects,
} from '@primrosestage/steering';

/** Limit on lines about endpoints that joined in one set of changes; at a start, all join. */
const MAX_JOIN_LINES = 20;

/** Origin of changes, and the view after them. */
export interface EffectSource {
  view: ControlView;
  /** `registry`, or the id or control address of another instance. */
  from: string;
  /** Monotonic time in milliseconds. */
  now: number;
}

/**
 * Logs the effects of changes on the endpoints and evacuations of the view. Each endpoint that left
 * or was updated gets a line. If many joined together, a last line counts those without a line.
 * @param effects - What changed.
 * @param source - Origin of the changes, and the view after them.
 * @param logger - Receives the lines.
 */
export function logEffects(
  effects: ViewEffects,
  {view, from, now}: EffectSource,
  logger: EventLogger,
): void {
  let joined = 0;
  let lastRevision = 0;
  for (const {id, effect, revision} of effects.endpoints) {
    if (effect === EndpointEffect.Joined && ++joined > MAX_JOIN_LINES) {
      lastRevision = Math.max(lastRevision, revision);
      continue;
    }
    const coldMs = Math.max(
      0,
      (view.endpointTable.get(id)?.coldUntil ?? 0) - now,
    );
    logger.info('endpoint changed', {
      endpoint: id,
      effect,
      revision,
      from,
      coldMs: Math.round(coldMs),
    });
  }
  if (joined > MAX_JOIN_LINES) {
    logger.info('endpoints joined', {
      count: joined - MAX_JOIN_LINES,
      revision: lastRevision,
      from,
    });
  }
  for (const {zone, isActive, revision} of effects.evacuations) {
    logger.info('evacuation changed', {zone, isActive, revision, from});
  }
}
