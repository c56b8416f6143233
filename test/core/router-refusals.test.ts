import { describe, expect, it } from 'vitest';
import type { TenantSpec } from '../../src/core/documents.js';
import { LeastLoadedChoice } from '../../src/core/replica-choice-least-loaded.js';
import { Router } from '../../src/core/router.js';
import type { RouterEffect } from '../../src/core/router-messages.js';

const SPEC: TenantSpec = {
  name: 'till',
  model: 'm',
  version: '1',
  modelBytes: 1,
  adapters: [],
  slots: 2,
  maxReplicas: 1,
  priority: 'live',
  deadlineMs: 1_000,
  limits: { inFlight: 50, requestsPerSecond: 1_000, queue: 50 },
  keepAlive: { policy: 'fixed', idleMs: 1_000 },
  sites: [],
  keyHashes: [],
};

/** Milliseconds for which a replica gets no request after it was busy, and some more. */
const AFTER_BUSY_MS = 30;

/** A router with one tenant that has one loaded replica. */
class Scene {
  spec: TenantSpec | undefined = SPEC;
  now = 1_000;
  readonly effects: RouterEffect[] = [];
  private readonly router: Router;

  constructor() {
    const directory = {
      tenant: () => this.spec,
      routes: () => [{ pool: 'p', site: 's', owner: 'o' }],
    };
    this.router = new Router({ self: 'r', directory, choice: new LeastLoadedChoice() }, this.now);
  }

  handle(event: Parameters<Router['handle']>[0]): void {
    this.effects.push(...this.router.handle(event, this.now));
  }

  arrive(id: string): void {
    const deadline = this.now + 1_000;
    const request = { id, tenant: 'till', priority: 0, deadline, repeatable: false };
    this.handle({ type: 'arrived', request: { ...request, idempotencyKey: undefined } });
  }

  load(): void {
    const replicas = [{ engine: 'e', incarnation: 'e', share: 2 }];
    const location = { tenant: 'till', pool: 'p', epoch: 1, version: 1, routers: 1 };
    const rest = { state: 'loaded', replicas, readyInMs: 0, retryAfterMs: 0 } as const;
    this.handle({ type: 'location', from: 'o', location: { ...location, ...rest } });
  }

  /** Ids of the requests with an effect of a type. */
  idsOf(type: 'send' | 'refuse'): string[] {
    return this.effects.flatMap((effect) => (effect.type === type ? [effect.id] : []));
  }
}

describe('a refusal by a router', () => {
  it('does not say of a request that it has just sent that it has not run, when its tenant is deleted', () => {
    const scene = new Scene();
    scene.arrive('a');
    scene.load();
    scene.handle({ type: 'refused', id: 'a', refusal: 'busy' });
    scene.arrive('b');
    expect(scene.idsOf('send')).toEqual(['a']);
    scene.now += AFTER_BUSY_MS;
    scene.spec = undefined;
    scene.handle({ type: 'configuration_changed' });
    const refused = scene.idsOf('refuse');
    expect(refused).toContain('a');
    expect(
      scene
        .idsOf('send')
        .slice(1)
        .filter((id) => refused.includes(id)),
    ).toEqual([]);
  });
});
