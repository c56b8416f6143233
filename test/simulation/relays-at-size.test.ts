/** Many daemons that reach no backend find the few that do, and spread their requests over these. */
import { describe, expect, it } from 'vitest';
import { RelaySelection, type RelayCandidate } from '../../src/core/relay-selection.js';
import { SeededRandom } from '../soak/seeded-random.js';

/** Requests of one daemon that may be refused by relays before it is refused (`request-relays.ts`). */
const MAX_REFUSALS = 8;
/** Requests that one daemon relays at the same time (`relay-server.ts`). */
const MAX_RELAYED = 128;
const STEP_MS = 20;
/** Mean time that a request takes at a backend. */
const SERVICE_MS = 1_500;
const ZONES = ['a', 'b', 'c'];

interface Running {
  readonly daemon: number;
  readonly relay: number;
  readonly endsAt: number;
}

interface Outcome {
  readonly served: number;
  readonly requests: number;
  /** Refusals by relays for each request. */
  readonly refusalsEach: number;
  /** Requests in flight at each relay that reaches backends, at most. */
  readonly mostInFlight: number[];
}

/** Plays requests at daemons of which the first `cut` reach no backend. Times begin 3 s after the cut. */
class Group {
  private readonly random = new SeededRandom(7);
  private readonly candidates: RelayCandidate[];
  private readonly selections: RelaySelection[];
  private readonly inFlight: number[];
  private readonly most: number[];
  private running: Running[] = [];
  private served = 0;
  private refusals = 0;

  constructor(
    daemons: number,
    private readonly cut: number,
  ) {
    this.candidates = Array.from({ length: daemons }, (_, index) => ({
      address: `10.0.${index >> 8}.${index & 255}:7380`,
      zone: ZONES[index % ZONES.length] ?? '',
    }));
    this.selections = this.candidates.map(({ address, zone }) => new RelaySelection(address, zone));
    this.inFlight = Array<number>(daemons).fill(0);
    this.most = Array<number>(daemons).fill(0);
  }

  play(perSecond: number, milliseconds: number): Outcome {
    let requests = 0;
    for (let now = 0; now < milliseconds; now += STEP_MS) {
      this.end(now);
      for (let daemon = 0; daemon < this.cut; daemon++) {
        if (!this.random.chance((perSecond * STEP_MS) / 1_000)) continue;
        requests += 1;
        if (this.send(daemon, now)) this.served += 1;
      }
    }
    const mostInFlight = this.most.slice(this.cut);
    return { served: this.served, requests, refusalsEach: this.refusals / requests, mostInFlight };
  }

  private end(now: number): void {
    for (const { daemon, relay, endsAt } of this.running) {
      if (endsAt > now) continue;
      this.inFlight[relay] = (this.inFlight[relay] ?? 0) - 1;
      this.selections[daemon]?.recordEnded(this.candidates[relay]?.address ?? '');
    }
    this.running = this.running.filter(({ endsAt }) => endsAt > now);
  }

  private send(daemon: number, now: number): boolean {
    const selection = this.selections[daemon];
    const excluded = new Set<string>();
    while (selection !== undefined && excluded.size < MAX_REFUSALS) {
      const peer = selection.choose(this.candidates, excluded, now);
      if (peer === undefined) return false;
      const relay = this.candidates.findIndex(({ address }) => address === peer);
      const load = this.inFlight[relay] ?? 0;
      const refusal = relay < this.cut ? 'partitioned' : load >= MAX_RELAYED ? 'busy' : undefined;
      if (refusal !== undefined) {
        selection.recordRefusal(peer, refusal, now);
        excluded.add(peer);
        this.refusals += 1;
        continue;
      }
      this.inFlight[relay] = load + 1;
      this.most[relay] = Math.max(this.most[relay] ?? 0, load + 1);
      selection.recordSent(peer, now);
      selection.recordRelayed(peer, now);
      const endsAt = now + this.random.between(0.2, 1.8) * SERVICE_MS;
      this.running.push({ daemon, relay, endsAt });
      return true;
    }
    return false;
  }
}

describe('relays of a large group', () => {
  it.each([
    { daemons: 6, cut: 2 },
    { daemons: 6, cut: 5 },
    { daemons: 9, cut: 6 },
    { daemons: 90, cut: 60 },
    { daemons: 330, cut: 300 },
  ])('serve callers of $cut of $daemons daemons that reach no backend', ({ daemons, cut }) => {
    const perSecond = 2_200 / 330;
    const { served, requests, mostInFlight } = new Group(daemons, cut).play(perSecond, 9_000);
    const mean = mostInFlight.reduce((sum, most) => sum + most, 0) / mostInFlight.length;
    expect(served / requests).toBeGreaterThan(2 / 3);
    expect(Math.max(...mostInFlight)).toBeLessThan(3 * mean + 4);
    expect(Math.max(...mostInFlight)).toBeLessThanOrEqual(MAX_RELAYED);
  });

  it('refuse at once if no daemon reaches a backend', () => {
    const outcome = new Group(330, 330).play(2, 3_000);
    expect(outcome.served).toBe(0);
    expect(outcome.refusalsEach).toBeLessThanOrEqual(MAX_REFUSALS);
  });
});
