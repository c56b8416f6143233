import { describe, expect, it } from 'vitest';
import {
  SIZE_PENALTY_MS,
  SlotQueue,
  AGING_STEP_MS,
} from '../../../src/core/admission/slot-queue.js';
import type { SlotRequest, SlotDecision } from '../../../src/core/admission/slot-allocator.js';

let tickets = 0;

function ask(now: number, part: Partial<SlotRequest> = {}): SlotRequest {
  tickets += 1;
  return {
    daemon: 'd',
    ticket: tickets,
    rank: 1,
    dueAt: now + 500,
    giveUpAt: now + 10_000,
    waitedMs: 0,
    tenant: '',
    work: 0,
    ...part,
  };
}

/** Fills all slots; returns the tickets that hold them. */
function fill(queue: SlotQueue, slots: number, part: Partial<SlotRequest> = {}): number[] {
  return Array.from({ length: slots }, () => {
    const one = ask(0, part);
    expect(queue.request(one, 0)).toMatchObject([{ answer: { type: 'granted' } }]);
    return one.ticket;
  });
}

function granted(decisions: readonly SlotDecision[]): number[] {
  return decisions.filter(({ answer }) => answer.type === 'granted').map(({ ticket }) => ticket);
}

/** Ends one request after another, and returns the tickets in the order in which they got slots. */
function drain(queue: SlotQueue, held: readonly number[], from: number, everyMs: number): number[] {
  const order: number[] = [];
  const ends = [...held];
  for (let now = from; ends.length > 0; now += everyMs) {
    const next = granted(queue.end('d', ends.shift() ?? 0, now));
    order.push(...next);
    ends.push(...next);
  }
  return order;
}

describe('the queue of a full backend', () => {
  it('serves more urgent ranks first, and by due time within a rank', () => {
    const queue = new SlotQueue(2);
    const held = fill(queue, 2);
    const patient = ask(0, { rank: 2, dueAt: 100 });
    const later = ask(0, { rank: 0, dueAt: 400 });
    const sooner = ask(0, { rank: 0, dueAt: 300 });
    for (const one of [patient, later, sooner]) queue.request(one, 10);
    expect(drain(queue, held, 20, 10)).toEqual([sooner.ticket, later.ticket, patient.ticket]);
  });

  it('serves requests that can still meet their due time first', () => {
    const queue = new SlotQueue(1);
    const held = fill(queue, 1);
    const late = ask(0, { dueAt: 5 });
    const inTime = ask(0, { dueAt: 400 });
    queue.request(late, 0);
    queue.request(inTime, 0);
    expect(drain(queue, held, 10, 10)).toEqual([inTime.ticket, late.ticket]);
  });

  it('limits a busy tenant to its share while other tenants of the same rank wait', () => {
    const queue = new SlotQueue(4);
    const held = fill(queue, 4, { tenant: 'hot' });
    const busy = Array.from({ length: 20 }, () => ask(0, { tenant: 'hot', dueAt: 100 }));
    const small = Array.from({ length: 3 }, () => ask(0, { tenant: 'small', dueAt: 500 }));
    for (const one of [...busy, ...small]) queue.request(one, 0);
    const order = drain(queue, held, 10, 1);
    const last = Math.max(...small.map(({ ticket }) => order.indexOf(ticket)));
    // The small tenant's share is two of four slots; it gets them before any other request is served.
    expect(order.slice(0, 2).every((ticket) => small.some((one) => one.ticket === ticket))).toBe(
      true,
    );
    expect(last).toBeLessThanOrEqual(4);
  });

  it('grants unused slots to a tenant beyond its share', () => {
    const queue = new SlotQueue(4);
    fill(queue, 1, { tenant: 'small' });
    const busy = Array.from({ length: 4 }, () => ask(0, { tenant: 'hot' }));
    const answers = busy.flatMap((one) => queue.request(one, 0));
    expect(granted(answers)).toHaveLength(3);
  });

  it('bounds the time for which a request is overtaken by its steps and its due time', () => {
    const queue = new SlotQueue(1);
    let [holder = 0] = fill(queue, 1);
    const arrivals = new Map<number, number>();
    const arrive = (now: number): void => {
      const urgent = ask(now, { rank: 0, work: 100 });
      arrivals.set(urgent.ticket, now);
      queue.request(urgent, now);
    };
    for (let count = 0; count < 8; count++) arrive(0);
    const largest = ask(0, { rank: 2, dueAt: 1_000, work: 1e6 });
    queue.request(largest, 0);
    const bound = Math.max((4 * 2 + 3) * AGING_STEP_MS, 1_000 + 3 * SIZE_PENALTY_MS);
    let now = 0;
    while (holder !== largest.ticket && now < 20_000) {
      now += 20;
      arrive(now);
      [holder = 0] = granted(queue.end('d', holder, now));
      expect(arrivals.get(holder) ?? 0).toBeLessThanOrEqual(bound);
    }
    expect(holder).toBe(largest.ticket);
    expect(now).toBeGreaterThan(500);
  });

  it('announces waits whose median is accurate within a factor of two', () => {
    const queue = new SlotQueue(8);
    const announced = new Map<number, { ms: number; at: number }>();
    const ratios: number[] = [];
    const ends: { at: number; ticket: number }[] = [];
    let seed = 7;
    const random = (): number => (seed = (seed * 48_271) % 2_147_483_647) / 2_147_483_647;
    const record = (decisions: readonly SlotDecision[], now: number): void => {
      for (const { ticket, answer } of decisions) {
        if (answer.type === 'queued') announced.set(ticket, { ms: answer.expectedWaitMs, at: now });
        if (answer.type !== 'granted') continue;
        ends.push({ at: now + 200 + 400 * random(), ticket });
        const wait = announced.get(ticket);
        if (wait !== undefined && now > 3_000) ratios.push((now - wait.at + 20) / (wait.ms + 20));
      }
    };
    for (let now = 0; now < 30_000; now += 5) {
      for (const end of ends.filter(({ at }) => at <= now)) {
        ends.splice(ends.indexOf(end), 1);
        record(queue.end('d', end.ticket, now), now);
      }
      // 19.5 requests a second for 8 slots of 400 ms each, in bursts of one second.
      const rate = Math.floor(now / 1_000) % 2 === 0 ? 0.16 : 0.035;
      if (random() < rate) {
        record(queue.request(ask(now, { rank: random() < 0.3 ? 0 : 1 }), now), now);
      }
    }
    ratios.sort((a, b) => a - b);
    expect(ratios.length).toBeGreaterThan(100);
    expect(ratios[Math.floor(ratios.length / 2)]).toBeGreaterThan(0.5);
    expect(ratios[Math.floor(ratios.length / 2)]).toBeLessThan(2);
    expect(ratios[Math.floor(ratios.length * 0.9)]).toBeLessThan(3);
  });

  it('refuses at once a request that would exceed its time limit, and later one that has', () => {
    const queue = new SlotQueue(1);
    let held = fill(queue, 1);
    for (let now = 500; now <= 5_000; now += 500) {
      const one = ask(now);
      queue.request(one, now);
      held = granted(queue.end('d', held[0] ?? 0, now));
    }
    const waits = queue.request(ask(5_000, { giveUpAt: 5_700 }), 5_000);
    expect(waits).toMatchObject([{ answer: { type: 'queued' } }]);
    const [refused] = queue.request(ask(5_000, { giveUpAt: 5_200 }), 5_000);
    expect(refused?.answer.type).toBe('refused');
    const retryAfterMs = refused?.answer.type === 'refused' ? refused.answer.retryAfterMs : 0;
    expect(retryAfterMs).toBeGreaterThan(500);
    expect(retryAfterMs).toBeLessThan(2_500);
    expect(queue.tick(5_699)).toEqual([]);
    expect(queue.tick(5_700)).toMatchObject([{ answer: { type: 'refused' }, waitedMs: 700 }]);
  });

  it('announces longer waits when no request ends', () => {
    const queue = new SlotQueue(4);
    let held = fill(queue, 4);
    for (let now = 100; now <= 2_000; now += 100) {
      queue.request(ask(now), now);
      held = [...held.slice(1), ...granted(queue.end('d', held[0] ?? 0, now))];
    }
    const waitAt = (now: number): number => queue.status(now).expectedWaitMs;
    const usual = waitAt(2_050);
    expect(usual).toBeLessThan(300);
    expect(waitAt(4_000)).toBeGreaterThan(450);
    expect(waitAt(6_000)).toBeGreaterThan(900);
  });

  it('is bounded: refuses the last request in the order when it is full', () => {
    const queue = new SlotQueue(1);
    fill(queue, 1);
    const patient = ask(0, { rank: 5 });
    queue.request(patient, 0);
    const answers = Array.from({ length: 40 }, () => queue.request(ask(0), 0)).flat();
    const refused = answers.filter(({ answer }) => answer.type === 'refused');
    expect(refused[0]?.ticket).toBe(patient.ticket);
    expect(queue.status(0).waiting).toBe(40 - refused.length + 1);
    expect(queue.status(0).waiting).toBeLessThan(20);
  });
});

describe('tickets', () => {
  it('that are requested again are answered with their current state', () => {
    const queue = new SlotQueue(1);
    const first = ask(0);
    const second = ask(0);
    queue.request(first, 0);
    queue.request(second, 0);
    expect(queue.request(first, 60)).toMatchObject([{ answer: { type: 'granted' } }]);
    expect(queue.request(second, 60)).toMatchObject([{ answer: { type: 'queued' } }]);
    expect(queue.status(0)).toMatchObject({ inFlight: 1, waiting: 1 });
  });

  it('that are unknown or have ended already are ignored', () => {
    const queue = new SlotQueue(1);
    const [held = 0] = fill(queue, 1);
    expect(queue.end('d', 999_999, 1)).toEqual([]);
    expect(queue.end('other', held, 1)).toEqual([]);
    queue.end('d', held, 2);
    expect(queue.end('d', held, 3)).toEqual([]);
    expect(queue.status(0).inFlight).toBe(0);
  });

  it('of a daemon that has left free their slots for waiting requests', () => {
    const queue = new SlotQueue(2);
    fill(queue, 2, { daemon: 'lost' });
    queue.request(ask(0, { daemon: 'lost' }), 0);
    const waiting = [ask(0), ask(0)];
    for (const one of waiting) queue.request(one, 0);
    expect(granted(queue.removeDaemon('lost', 10))).toEqual(waiting.map(({ ticket }) => ticket));
  });

  it('whose end message was lost are dropped if their daemon does not list them or sends no list', () => {
    const queue = new SlotQueue(2);
    const [kept = 0, lost = 0] = fill(queue, 2);
    const next = ask(0);
    queue.request(next, 0);
    expect(queue.reconcile('d', [kept], [next.ticket], 100)).toEqual([]);
    expect(granted(queue.reconcile('d', [kept], [next.ticket], 1_000))).toEqual([next.ticket]);
    expect(queue.status(0)).toMatchObject({ inFlight: 2, waiting: 0 });
    queue.tick(4_000);
    expect(queue.status(0).inFlight).toBe(2);
    queue.tick(5_000);
    expect(queue.status(0).inFlight).toBe(0);
    expect(lost).toBeGreaterThan(0);
  });

  it('that began before the queue existed hold slots once they are listed', () => {
    const queue = new SlotQueue(2);
    queue.reconcile('d', [1, 2, 3], [], 0);
    expect(queue.status(0).inFlight).toBe(3);
    const one = ask(0);
    expect(queue.request(one, 1)).toMatchObject([{ answer: { type: 'queued' } }]);
    expect(queue.end('d', 1, 2)).toEqual([]);
    expect(granted(queue.end('d', 2, 3))).toEqual([one.ticket]);
  });

  it('that wait are answered at once when the backend closes', () => {
    const queue = new SlotQueue(1);
    fill(queue, 1);
    const one = ask(0);
    queue.request(one, 0);
    expect(queue.close(5)).toMatchObject([{ ticket: one.ticket, answer: { type: 'unknown' } }]);
  });

  it.each([NaN, -1, Infinity])('with the invalid number %j are treated as least urgent', (bad) => {
    const queue = new SlotQueue(1);
    const held = fill(queue, 1);
    const invalid = ask(0, { rank: bad === -1 ? NaN : bad, dueAt: bad, work: bad, waitedMs: bad });
    const valid = ask(0, { rank: 3 });
    queue.request(invalid, 0);
    queue.request(valid, 0);
    expect(drain(queue, held, 10, 10)).toEqual([valid.ticket, invalid.ticket]);
  });
});

describe('a new queue of a busy backend', () => {
  it('does not mistake the process uptime for a stall', () => {
    const now = 86_400_000;
    const queue = new SlotQueue(2);
    queue.reconcile('d', [900_001, 900_002], [], now);
    expect(queue.status(now).expectedWaitMs).toBeLessThan(2_000);
    expect(queue.status(now + 40_000).expectedWaitMs).toBeGreaterThan(2_000);
  });
});

describe('a refusal by a full backend', () => {
  it('counts as a waiting request only once the caller is told to retry, as another backend may serve it', () => {
    const queue = new SlotQueue(1);
    let [held = 0] = fill(queue, 1);
    for (let now = 500; now <= 2_500; now += 500) {
      queue.end('d', held, now);
      const next = ask(now);
      queue.request(next, now);
      held = next.ticket;
    }
    const before = queue.status(2_510).expectedWaitMs;
    const refused = queue.request(ask(2_510, { giveUpAt: 2_520 }), 2_510);
    expect(refused).toMatchObject([{ answer: { type: 'refused' } }]);
    expect(queue.status(2_520).expectedWaitMs).toBe(before);
    queue.expectRetry(1, before / 2, 2_510);
    expect(queue.status(2_520).expectedWaitMs).toBeGreaterThan(before);
  });
});
