/** Finds models that nobody loads any more after gateways were lost for good. Pure. */
import type { SoakEvidence, Violation } from './evidence.js';

/** A model is judged if it was asked for this often after the last fault. */
const MIN_ASKED = 4;
/** Number and share of the judged models that may never be served (bound of the operators). */
const TOLERATED_MODELS = 1;
const TOLERATED_SHARE = 0.1;

/** Returns the violated guarantees about services after losses of gateways. */
export function auditLosses(evidence: SoakEvidence): Violation[] {
  const { lostGateways, owner } = evidence;
  if (lostGateways.length === 0) return [];
  const isOwned = owner !== undefined && !lostGateways.includes(owner);
  const lost = `${lostGateways.length} gateways lost`;
  const unowned = isOwned
    ? []
    : [{ rule: 'service_unowned', detail: `${lost}, the record names ${owner ?? 'none'}` }];
  const asked = countsByModel(evidence, () => true);
  const served = countsByModel(evidence, ({ status, isComplete }) => status === 200 && isComplete);
  const judged = [...asked].filter(([, count]) => count >= MIN_ASKED).map(([model]) => model);
  const starved = judged.filter((model) => !served.has(model));
  if (starved.length <= TOLERATED_MODELS + judged.length * TOLERATED_SHARE) return unowned;
  return [...unowned, { rule: 'models_starved', detail: `${lost}: ${starved.join(' ')}` }];
}

function countsByModel(
  { calls, faultFreeSince }: SoakEvidence,
  counts: (call: SoakEvidence['calls'][number]) => boolean,
): Map<string, number> {
  const found = new Map<string, number>();
  for (const call of calls) {
    const { model } = call.request;
    if (model === undefined || call.sentAt < faultFreeSince || !counts(call)) continue;
    found.set(model, (found.get(model) ?? 0) + 1);
  }
  return found;
}
