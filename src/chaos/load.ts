/** Callers' load on a cluster: seeded, bounded in count and time, and remembered. */
import http from 'node:http';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { callModel, promptAtEngine } from '../client/model-client.js';
import { sleep } from '../common/process.js';
import { expectedAnswer } from '../standin/expected-answer.js';
import type { CallerRecord } from './auditor.js';

const MAX_TOKENS = 40;
/** Milliseconds that a caller waits beyond the deadline before it gives up. */
const CALLER_PATIENCE_MS = 3_000;
/** Every so many requests carries an idempotency key and is sent through two routers. */
const DOUBLED_EVERY = 9;

/** A tenant as callers use it. */
export interface LoadTenant {
  readonly name: string;
  readonly key: string;
}

/** The load's shape. */
export interface LoadOptions {
  /** Callers' addresses of the daemons. */
  readonly daemons: readonly string[];
  readonly tenants: readonly LoadTenant[];
  readonly requestsPerSecond: number;
  readonly seconds: number;
  readonly deadlineMs: number;
  readonly seed: number;
}

/** Whole numbers from a seed, both ends included. */
export function seededIntegers(seed: number): (low: number, high: number) => number {
  const generator = xoroshiro128plus(seed);
  return (low, high) => uniformInt(generator, low, high);
}

/** Sends requests for a while; resolves with all records once the last has ended. */
export class LoadGenerator {
  private readonly agent = new http.Agent({ keepAlive: true, maxSockets: 512 });
  private readonly records: CallerRecord[] = [];
  private readonly calls: Promise<void>[] = [];
  private readonly next: (low: number, high: number) => number;
  private count = 0;
  private stopped = false;

  constructor(private readonly options: LoadOptions) {
    this.next = seededIntegers(options.seed);
  }

  /** Sends the whole load. */
  async run(): Promise<readonly CallerRecord[]> {
    const { requestsPerSecond, seconds } = this.options;
    const total = requestsPerSecond * seconds;
    const startedAt = Date.now();
    while (this.count < total && !this.stopped) {
      const due = startedAt + (this.count * 1000) / requestsPerSecond;
      if (due > Date.now()) await sleep(due - Date.now());
      this.sendNext();
    }
    await Promise.all(this.calls);
    this.agent.destroy();
    return this.records;
  }

  /** Sends one request for a tenant at every daemon at once. */
  burst(tenant: LoadTenant): void {
    for (const daemon of this.options.daemons) this.send(daemon, tenant, undefined);
  }

  /** Sends one request for a tenant at the next daemon. */
  single(tenant: LoadTenant): void {
    const { daemons } = this.options;
    this.send(daemons[this.next(0, daemons.length - 1)] ?? '', tenant, undefined);
  }

  /** Ends the load early. */
  stop(): void {
    this.stopped = true;
  }

  private sendNext(): void {
    const { daemons, tenants } = this.options;
    const daemon = daemons[this.next(0, daemons.length - 1)] ?? '';
    const tenant = tenants[this.next(0, tenants.length - 1)];
    if (tenant === undefined) return;
    if (this.count % DOUBLED_EVERY !== 0) return this.send(daemon, tenant, undefined);
    // A caller that is in doubt asks again elsewhere with the same key.
    const key = `key-${this.options.seed}-${this.count}`;
    const other = daemons[this.next(0, daemons.length - 1)] ?? '';
    this.send(daemon, tenant, key);
    this.send(other, tenant, key);
  }

  private send(daemon: string, tenant: LoadTenant, idempotencyKey: string | undefined): void {
    const id = `c${this.options.seed}-${this.count}`;
    const prompt = `${id} asks ${tenant.name}`;
    const repeatable = this.count % 4 === 3 && idempotencyKey === undefined;
    this.count += 1;
    const { deadlineMs } = this.options;
    const deadlineAt = Date.now() + deadlineMs;
    const headers: Record<string, string> = {
      'x-request-id': id,
      'x-deadline-ms': String(deadlineMs),
      'x-repeatable': String(repeatable),
    };
    if (idempotencyKey !== undefined) headers['idempotency-key'] = idempotencyKey;
    const call = callModel({
      server: daemon,
      key: tenant.key,
      model: tenant.name,
      prompt,
      maxTokens: MAX_TOKENS,
      stream: this.count % 2 === 0,
      headers,
      timeoutMs: deadlineMs + CALLER_PATIENCE_MS,
      agent: this.agent,
    }).then((answer) => {
      const expectedText = expectedAnswer(promptAtEngine(prompt), MAX_TOKENS);
      const record = { id, daemon, tenant: tenant.name, repeatable, idempotencyKey, deadlineAt };
      this.records.push({ ...record, expectedText, answer });
    });
    this.calls.push(call);
  }
}
