/* Property test: a router runs requests that are not repeatable at most once, and reports correctly whether a request ran. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { ERROR_RESPONSES } from '../../src/common/errors.js';
import type { TenantSpec } from '../../src/core/documents.js';
import { LeastLoadedChoice } from '../../src/core/replica-choice-least-loaded.js';
import { Router } from '../../src/core/router.js';
import type { RouterEffect, RouterEvent, RoutedRequest } from '../../src/core/router-messages.js';

/** Number of simulated histories in a run; the seed is fixed. */
const HISTORIES = 10_000;
const SEED = 20261203;
const ENGINES = ['e0', 'e1'] as const;

const SPEC: TenantSpec = {
  name: 'till',
  model: 'm',
  version: '1',
  modelBytes: 1,
  adapters: [],
  slots: 2,
  maxReplicas: 2,
  priority: 'live',
  deadlineMs: 1_000,
  limits: { inFlight: 50, requestsPerSecond: 1_000, queue: 50 },
  keepAlive: { policy: 'fixed', idleMs: 1_000 },
  sites: [],
  keyHashes: [],
};

interface SimulatedEngine {
  starts: number;
  readonly known: Set<string>;
  readonly cancelled: Set<string>;
}

type Step =
  | { readonly type: 'arrive'; readonly repeatable: boolean }
  | { readonly type: 'take'; readonly which: number; readonly busy: boolean }
  | { readonly type: 'accept'; readonly which: number }
  | { readonly type: 'token'; readonly which: number }
  | { readonly type: 'finish'; readonly which: number }
  | { readonly type: 'break'; readonly which: number; readonly unsent: boolean }
  | { readonly type: 'cancel'; readonly which: number; readonly lost: boolean }
  | { readonly type: 'restart'; readonly engine: number }
  | { readonly type: 'deadline'; readonly which: number }
  | { readonly type: 'locate' };

/** A request on one connection to an engine. */
interface SentRequest {
  readonly id: string;
  readonly engine: number;
  readonly incarnation: string;
}

/** A router with two engines, on a network that loses and delays messages. */
class SimulatedRouter {
  readonly runs = new Map<string, number>();
  readonly ends = new Map<string, string>();
  readonly repeatable = new Set<string>();
  private readonly router: Router;
  private readonly engines = ENGINES.map((): SimulatedEngine => ({
    starts: 0,
    known: new Set(),
    cancelled: new Set(),
  }));
  private readonly arriving: SentRequest[] = [];
  private readonly cancels: { id: string; engine: number; incarnation: string }[] = [];
  private readonly open = new Map<string, SentRequest>();
  private now = 1_000;
  private count = 0;
  private version = 0;

  constructor() {
    const directory = {
      tenant: () => SPEC,
      routes: () => [{ pool: 'p', site: 's', owner: 'o' }],
    };
    this.router = new Router({ self: 'r', directory, choice: new LeastLoadedChoice() }, this.now);
  }

  step(step: Step): void {
    this.now += 1;
    switch (step.type) {
      case 'arrive':
        return this.arrive(step.repeatable);
      case 'take':
        return this.take(step.which, step.busy);
      case 'accept':
        return this.onOpen(step.which, (id) => {
          if (this.isKnown(id))
            this.handle({ type: 'accepted', id, load: { inFlight: 1, slots: 2 } });
        });
      case 'token':
        return this.onOpen(step.which, (id) => {
          if (this.isKnown(id)) this.handle({ type: 'token', id });
        });
      case 'finish':
        return this.onOpen(step.which, (id) => {
          if (!this.isKnown(id)) return;
          this.end(id, 'whole');
          this.handle({ type: 'done', id });
        });
      case 'break':
        return this.breakConnection(step.which, step.unsent);
      case 'cancel':
        return this.handleCancel(step.which, step.lost);
      case 'restart':
        return this.restart(step.engine % ENGINES.length);
      case 'deadline':
        return this.onUnfinished(step.which, (id) => this.handle({ type: 'deadline', id }));
      case 'locate':
        return this.locate();
    }
  }

  /** Returns the invariants that are violated now. */
  violations(): string[] {
    const violations: string[] = [];
    for (const [id, runs] of this.runs) {
      if (runs > 1 && !this.repeatable.has(id)) violations.push(`${id} ran ${runs} times`);
      if (this.ends.get(id) === 'no')
        violations.push(`${id} ran although it was refused as not run`);
    }
    return violations;
  }

  /** Lets all deadlines pass. Returns the number of requests that still have no result. */
  finish(): number {
    for (let id = 0; id < this.count; id++) this.handle({ type: 'deadline', id: `q${id}` });
    for (const sent of this.arriving) this.runAt(sent);
    return this.count - this.ends.size;
  }

  private arrive(repeatable: boolean): void {
    const id = `q${this.count}`;
    this.count += 1;
    if (repeatable) this.repeatable.add(id);
    const deadline = this.now + 1_000;
    const request: RoutedRequest = {
      id,
      tenant: 'till',
      priority: 0,
      deadline,
      repeatable,
      idempotencyKey: undefined,
    };
    this.handle({ type: 'arrived', request });
  }

  private take(which: number, busy: boolean): void {
    if (this.arriving.length === 0) return;
    const [sent] = this.arriving.splice(which % this.arriving.length, 1);
    if (sent === undefined) return;
    const isOpen = this.open.get(sent.id) === sent;
    if (!busy && this.runAt(sent)) return;
    if (isOpen)
      this.handle({ type: 'refused', id: sent.id, refusal: busy ? 'busy' : 'not_loaded' });
  }

  /** Runs the request at its engine unless it is fenced. Returns whether it ran. */
  private runAt(sent: SentRequest): boolean {
    const engine = this.engines[sent.engine];
    if (engine === undefined || sent.incarnation !== String(engine.starts)) return false;
    if (engine.cancelled.has(sent.id) || engine.known.has(sent.id)) return false;
    engine.known.add(sent.id);
    this.runs.set(sent.id, (this.runs.get(sent.id) ?? 0) + 1);
    return true;
  }

  private isKnown(id: string): boolean {
    return this.engines[this.open.get(id)?.engine ?? -1]?.known.has(id) ?? false;
  }

  private breakConnection(which: number, unsent: boolean): void {
    this.onOpen(which, (id) => {
      const index = this.arriving.findIndex((sent) => sent === this.open.get(id));
      const wasUnsent = unsent && index >= 0;
      if (wasUnsent) this.arriving.splice(index, 1);
      this.handle({ type: 'broken', id, sent: !wasUnsent });
    });
  }

  private handleCancel(which: number, lost: boolean): void {
    if (this.cancels.length === 0) return;
    const [cancel] = this.cancels.splice(which % this.cancels.length, 1);
    const engine = this.engines[cancel?.engine ?? -1];
    if (cancel === undefined || engine === undefined) return;
    engine.cancelled.add(cancel.id);
    const same = cancel.incarnation === String(engine.starts);
    const ran = engine.known.has(cancel.id) ? 'yes' : 'no';
    this.handle({ type: 'cancelled', id: cancel.id, ran: lost || !same ? 'unknown' : ran });
  }

  private restart(index: number): void {
    const engine = this.engines[index];
    if (engine === undefined) return;
    engine.starts += 1;
    engine.known.clear();
    engine.cancelled.clear();
  }

  private locate(): void {
    this.version += 1;
    const replicas = ENGINES.map((engine, index) => ({
      engine,
      incarnation: String(this.engines[index]?.starts),
      share: 2,
    }));
    const counts = { readyInMs: 0, retryAfterMs: 0, routers: 1 };
    const head = { pool: 'p', epoch: 1, version: this.version, tenant: 'till' };
    const location = { ...head, state: 'loaded' as const, replicas, ...counts };
    this.handle({ type: 'location', from: 'o', location });
  }

  private onOpen(which: number, action: (id: string) => void): void {
    const ids = [...this.open.keys()];
    const id = ids[which % Math.max(1, ids.length)];
    if (id !== undefined) action(id);
  }

  private onUnfinished(which: number, action: (id: string) => void): void {
    const id = `q${which % Math.max(1, this.count)}`;
    if (this.count > 0 && !this.ends.has(id)) action(id);
  }

  private end(id: string, how: string): void {
    this.ends.set(id, how);
    this.open.delete(id);
  }

  private handle(event: RouterEvent): void {
    for (const effect of this.router.handle(event, this.now)) this.perform(effect);
  }

  private perform(effect: RouterEffect): void {
    if (effect.type === 'send') {
      const engine = ENGINES.indexOf(effect.engine as (typeof ENGINES)[number]);
      const sent = { id: effect.id, engine, incarnation: effect.incarnation };
      this.arriving.push(sent);
      this.open.set(effect.id, sent);
    }
    if (effect.type === 'cancel') {
      const engine = ENGINES.indexOf(effect.engine as (typeof ENGINES)[number]);
      this.cancels.push({ id: effect.id, engine, incarnation: effect.incarnation });
    }
    if (effect.type === 'refuse') this.end(effect.id, ERROR_RESPONSES[effect.kind].ran);
  }
}

const which = fc.nat(7);
const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ type: fc.constant('arrive' as const), repeatable: fc.boolean() }),
  fc.record({ type: fc.constant('take' as const), which, busy: fc.boolean() }),
  fc.record({ type: fc.constant('accept' as const), which }),
  fc.record({ type: fc.constant('token' as const), which }),
  fc.record({ type: fc.constant('finish' as const), which }),
  fc.record({ type: fc.constant('break' as const), which, unsent: fc.boolean() }),
  fc.record({ type: fc.constant('break' as const), which, unsent: fc.constant(false) }),
  fc.record({ type: fc.constant('cancel' as const), which, lost: fc.boolean() }),
  fc.record({ type: fc.constant('restart' as const), engine: fc.nat(1) }),
  fc.record({ type: fc.constant('deadline' as const), which }),
  fc.record({ type: fc.constant('locate' as const) }),
);
const history = fc.array(step, { minLength: 20, maxLength: 120, size: 'max' });

describe('a router, in simulated histories', () => {
  it(`runs requests at most once, reports correctly whether they ran and ends all in ${HISTORIES} histories`, () => {
    let ran = 0;
    fc.assert(
      fc.property(history, (steps) => {
        const simulated = new SimulatedRouter();
        for (const next of steps) {
          simulated.step(next);
          expect(simulated.violations()).toEqual([]);
        }
        expect(simulated.finish()).toBe(0);
        expect(simulated.violations()).toEqual([]);
        ran += simulated.runs.size;
      }),
      { seed: SEED, numRuns: HISTORIES },
    );
    expect(ran).toBeGreaterThan(HISTORIES / 10);
  });
});
