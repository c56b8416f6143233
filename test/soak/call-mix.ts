/** The mix of requests that callers of a soak test send. */
import type { RequestKind } from './caller.js';
import type { SeededRandom } from './seeded-random.js';
import { MODELS } from './soak-replicas.js';

/** What one request asks for. */
interface DrawnCall {
  readonly kind: RequestKind;
  readonly path: string;
  readonly model: string | undefined;
  /** Number of events of the answer. */
  readonly events: number;
  readonly deadlineMs: number;
}

/** Draws a request. */
export function drawCall(random: SeededRandom): DrawnCall {
  const events = Math.ceil(random.between(1, 60));
  // The most requested model changes every 8 s.
  const hot = Math.floor((Date.now() / 8_000) % MODELS.length);
  const model = random.chance(0.6) ? MODELS[hot] : random.pick(MODELS);
  const draw = random.between(0, 1);
  const stream = { model, events, deadlineMs: 6_000 };
  const plain = { model: undefined, events, deadlineMs: 1_500 };
  if (draw < 0.35) return { kind: 'resumable', path: '/models/s/x', ...stream };
  if (draw < 0.55) return { kind: 'stream_once', path: '/models/o/x', ...stream };
  if (draw < 0.8) return { kind: 'once', path: '/plain/once/x', ...plain };
  return { kind: 'any', path: '/plain/any/x', ...plain };
}
