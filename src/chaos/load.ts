/**
 * Generates the callers' load on a cluster. The load follows from a seed, is bounded in
 * count and time, and every request is recorded.
 */
import http from 'node:http';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { callModel, promptAtEngine } from '../client/model-client.js';
import { sleep } from '../common/process.js';
import { expectedAnswer } from '../standin/expected-answer.js';
import type { CallerRecord } from './auditor.js';

const MAX_TOKENS = 40;
/** Milliseconds after the deadline at which a caller abandons its request. */
const CALLER_TIMEOUT_MARGIN_MS = 3_000;
/** One in this many requests carries an idempotency key and is sent through two routers. */
const DUPLICATE_EVERY_REQUESTS = 9;

/** The tenant's name and the API key with which callers use it. */
export interface LoadTenant {
  readonly name: string;
  readonly key: string;
}

/** Targets, rate and duration of the load. */
export interface LoadOptions {
  /** The addresses at which the daemons serve callers. */
  readonly daemons: readonly string[];
  readonly tenants: readonly LoadTenant[];
  readonly requestsPerSecond: number;
  readonly seconds: number;
  readonly deadlineMs: number;
  readonly seed: number;
}

/** Returns a seeded generator of integers between `low` and `high`, both included. */
export function seededIntegers(seed: number): (low: number, high: number) => number {
  const generator = xoroshiro128plus(seed);
  return (low, high) => uniformInt(generator, low, high);
}

/** Sends requests at a fixed rate and records their results. */
export class LoadGenerator {
  private readonly agent = new http.Agent({ keepAlive: true, maxSockets: 512 });
  private readonly records: CallerRecord[] = [];
  private readonly calls: Promise<void>[] = [];
  private readonly nextInteger: (low: number, high: number) => number;
  private count = 0;
  private stopped = false;

  constructor(private readonly options: LoadOptions) {
    this.nextInteger = seededIntegers(options.seed);
  }

  /** Sends the whole load; resolves with all records when the last request has ended. */
  async run(): Promise<readonly CallerRecord[]> {
    const { requestsPerSecond, seconds } = this.options;
    const total = requestsPerSecond * seconds;
    const startedAt = Date.now();
    while (this.count < total && !this.stopped) {
      const dueAt = startedAt + (this.count * 1000) / requestsPerSecond;
      if (dueAt > Date.now()) await sleep(dueAt - Date.now());
      this.sendNext();
    }
    await Promise.all(this.calls);
    this.agent.destroy();
    return this.records;
  }

  /** Sends one request for a tenant to each daemon at the same time. */
  sendToAllDaemons(tenant: LoadTenant): void {
    for (const daemon of this.options.daemons) this.send(daemon, tenant, undefined);
  }

  /** Sends one request for a tenant to a daemon chosen by the seeded generator. */
  sendOne(tenant: LoadTenant): void {
    const { daemons } = this.options;
    this.send(daemons[this.nextInteger(0, daemons.length - 1)] ?? '', tenant, undefined);
  }

  /** Ends the load early. */
  stop(): void {
    this.stopped = true;
  }

  private sendNext(): void {
    const { daemons, tenants } = this.options;
    const daemon = daemons[this.nextInteger(0, daemons.length - 1)] ?? '';
    const tenant = tenants[this.nextInteger(0, tenants.length - 1)];
    if (tenant === undefined) return;
    if (this.count % DUPLICATE_EVERY_REQUESTS !== 0) return this.send(daemon, tenant, undefined);
    // Simulates a caller that retries through another daemon with the same idempotency key.
    const key = `key-${this.options.seed}-${this.count}`;
    const other = daemons[this.nextInteger(0, daemons.length - 1)] ?? '';
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
      timeoutMs: deadlineMs + CALLER_TIMEOUT_MARGIN_MS,
      agent: this.agent,
    }).then((answer) => {
      const expectedText = expectedAnswer(promptAtEngine(prompt), MAX_TOKENS);
      const record = { id, daemon, tenant: tenant.name, repeatable, idempotencyKey, deadlineAt };
      this.records.push({ ...record, expectedText, answer });
    });
    this.calls.push(call);
  }
}
