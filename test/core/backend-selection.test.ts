import { describe, expect, it } from 'vitest';
import type { BackendCandidate } from '../../src/core/backend-selection.js';
import { StaleLoadSelection } from '../../src/core/backend-selection-stale-load.js';

function candidate(id: string, overrides: Partial<BackendCandidate> = {}): BackendCandidate {
  const defaults = { sameZone: true, hasConnection: true, slots: 12, inFlight: 0, failureShare: 0 };
  return { id, ...defaults, ...overrides };
}

describe('StaleLoadSelection', () => {
  it('avoids the backend that caches the prompt when almost all of its slots are in use', () => {
    const selection = new StaleLoadSelection('d');
    const idle = ['x', 'y', 'z'].map((id) => candidate(id));
    const cachingId = selection.choose(idle, 'prompt')?.id ?? '';
    const busy = idle.map((each) =>
      each.id === cachingId ? candidate(cachingId, { inFlight: 11 }) : each,
    );
    expect(selection.choose(busy, 'prompt')?.id).not.toBe(cachingId);
  });

  it('spreads the choices of different daemons over equal backends', () => {
    const equals = ['x', 'y', 'z', 'w'].map((id) => candidate(id));
    const chosen = Array.from({ length: 40 }, (_, index) => {
      return new StaleLoadSelection(`d${index}`).choose(equals, undefined)?.id;
    });
    expect(new Set(chosen).size).toBe(4);
  });

  it('chooses a backend with a pause risk only when the backends without one are much fuller', () => {
    const risky = candidate('x', { pauseRisk: 0.4 });
    const sure = (inFlight: number): BackendCandidate => candidate('y', { inFlight });
    const choose = (...candidates: BackendCandidate[]): string | undefined => {
      return new StaleLoadSelection('d').choose(candidates, undefined)?.id;
    };
    expect(choose(risky, sure(3))).toBe('y');
    expect(choose(risky, sure(9))).toBe('x');
  });

  it('sends more requests to a faster backend', () => {
    const [slow, fast] = [candidate('x', { speed: 0.5 }), candidate('y', { speed: 1.5 })];
    const counts = { x: 0, y: 0 };
    const selection = new StaleLoadSelection('d');
    for (let request = 0; request < 12; request++) {
      const loads = [
        { ...slow, inFlight: counts.x },
        { ...fast, inFlight: counts.y },
      ];
      const chosen = selection.choose(loads, undefined)?.id;
      if (chosen === 'x' || chosen === 'y') counts[chosen] += 1;
    }
    expect(counts.y).toBeGreaterThanOrEqual(2 * counts.x);
  });

  it('prefers a backend in its own zone with an open connection', () => {
    const near = candidate('x');
    const far = candidate('y', { sameZone: false, hasConnection: false });
    expect(new StaleLoadSelection('d').choose([far, near], undefined)?.id).toBe('x');
  });
});

/** Simulates many daemons that send streams to backends whose load reports arrive late; all times in milliseconds. */
class LateReportSimulation {
  private static readonly daemons = 195;
  private static readonly backends = 25;
  private static readonly slots = 12;
  private static readonly requestsPerSecond = 60;
  private static readonly streamMs = 2_500;
  private static readonly reportPeriodMs = 250;
  private static readonly reportDelayMs = 250;
  /** Prompts that arrive at a backend within this time are processed at the same time. */
  private static readonly promptMs = 80;

  private readonly selections = Array.from(
    { length: LateReportSimulation.daemons },
    (_, index) => new StaleLoadSelection(`d${index}`),
  );
  private readonly ids = Array.from(
    { length: LateReportSimulation.backends },
    (_, index) => `b${index}`,
  );
  private readonly inFlight = new Map(this.ids.map((id) => [id, 0]));
  private readonly arrivals = new Map<string, number[]>(this.ids.map((id) => [id, []]));
  private readonly ends: { readonly at: number; readonly id: string }[] = [];
  private readonly reports: { readonly at: number; readonly loads: ReadonlyMap<string, number> }[] =
    [];
  private seed = 1;

  /** Simulates a minute; returns the share of requests whose backend processes two or more other prompts. */
  crowdedShare(): number {
    let sent = 0;
    let crowded = 0;
    let nextReport = 0;
    const meanGapMs = 1_000 / LateReportSimulation.requestsPerSecond;
    for (let now = 0; now < 60_000; now += -Math.log(1 - this.random()) * meanGapMs) {
      for (; nextReport <= now; nextReport += LateReportSimulation.reportPeriodMs)
        this.reportLoads(nextReport);
      this.endStreams(now);
      sent += 1;
      if (this.send(now) >= 3) crowded += 1;
    }
    return crowded / sent;
  }

  /** Sends one request; returns the number of prompts that its backend processes, including its own. */
  private send(now: number): number {
    const loads = this.reports
      .filter(({ at }) => at + LateReportSimulation.reportDelayMs <= now)
      .at(-1)?.loads;
    const candidates = this.ids.map((id) =>
      candidate(id, { slots: LateReportSimulation.slots, inFlight: loads?.get(id) ?? 0 }),
    );
    const daemon = Math.floor(this.random() * LateReportSimulation.daemons);
    const prompt = `p${Math.floor(this.random() * 30)}`;
    const id = this.selections[daemon]?.choose(candidates, prompt)?.id ?? '';
    this.inFlight.set(id, (this.inFlight.get(id) ?? 0) + 1);
    this.ends.push({ at: now + LateReportSimulation.streamMs * (0.5 + this.random()), id });
    const recent = (this.arrivals.get(id) ?? []).filter(
      (at) => at > now - LateReportSimulation.promptMs,
    );
    recent.push(now);
    this.arrivals.set(id, recent);
    return recent.length;
  }

  private endStreams(now: number): void {
    const ended = this.ends.filter(({ at }) => at <= now);
    for (const stream of ended) {
      this.ends.splice(this.ends.indexOf(stream), 1);
      this.inFlight.set(stream.id, (this.inFlight.get(stream.id) ?? 0) - 1);
    }
  }

  private reportLoads(at: number): void {
    this.reports.push({ at, loads: new Map(this.inFlight) });
  }

  /** Returns a pseudo-random number in [0, 1); the sequence is the same in each run. */
  private random(): number {
    this.seed = (Math.imul(this.seed, 1_664_525) + 1_013_904_223) >>> 0;
    return this.seed / 2 ** 32;
  }
}

describe('StaleLoadSelection with many daemons and late load reports', () => {
  it('does not send all requests to the backend that was free in the last report', () => {
    // The share was 0.49 when every daemon chose the cheapest backend that it knew.
    expect(new LateReportSimulation().crowdedShare()).toBeLessThan(0.1);
  });
});
