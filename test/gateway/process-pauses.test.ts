import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { Worker } from 'node:worker_threads';
import { afterEach, describe, expect, it } from 'vitest';
import type { BackendRecord } from '../../src/core/service-configuration.js';
import type { GatewaySettings } from '../../src/gateway/gateway-settings.js';
import { GatewayHarness, pause, testConfiguration, testRoute } from './gateway-harness.js';

const SCRIPT = path.join(path.dirname(fileURLToPath(import.meta.url)), 'separate-backend.mjs');

/** A backend whose thread goes on while the test's thread is blocked. */
class SeparateBackend {
  readonly arrivals: string[] = [];

  private constructor(
    private readonly worker: Worker,
    readonly id: string,
    private port: number,
  ) {
    worker.on('message', ({ arrival }: { arrival?: string }) => {
      if (arrival !== undefined) this.arrivals.push(arrival);
    });
  }

  static async start(
    id: string,
    answer: { events: number; gapMs: number },
  ): Promise<SeparateBackend> {
    const worker = new Worker(SCRIPT, { workerData: answer });
    const { port } = await new Promise<{ port: number }>((resolve) =>
      worker.once('message', resolve),
    );
    return new SeparateBackend(worker, id, port);
  }

  record(): BackendRecord {
    return {
      id: this.id,
      service: 'service',
      address: `127.0.0.1:${this.port}`,
      zone: 'a',
      slots: 10,
      leaving: false,
      softwareVersion: 'v1',
      models: [],
      revision: 1,
      sequence: 0,
      inMemory: [],
      onDisk: [],
    };
  }

  async stop(): Promise<void> {
    await this.worker.terminate();
  }
}

/** Blocks this thread, as a process without a processor is blocked: timers that expire meanwhile run before the sockets are read. */
function blockFor(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    // The timers are the next phase of the event loop.
    setImmediate(() => {
      Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, milliseconds);
      resolve();
    });
  });
}

describe('a process that was paused', () => {
  let harness: GatewayHarness;
  let backends: SeparateBackend[] = [];

  async function startBackends(answer: { events: number; gapMs: number }): Promise<void> {
    backends = await Promise.all(['one', 'two'].map((id) => SeparateBackend.start(id, answer)));
    harness.list(backends.map((backend) => backend.record()));
  }

  async function start(part: Partial<GatewaySettings['bounds']> = {}): Promise<void> {
    const prepared = await GatewayHarness.prepare();
    const { bounds } = prepared.settings;
    harness = await GatewayHarness.start({ bounds: { ...bounds, ...part } });
    harness.configure(
      testConfiguration({
        routes: [
          testRoute({ name: 'stream', pathPrefix: '/s/', repeatability: 'resumable_stream' }),
          testRoute({ name: 'plain', pathPrefix: '/p/', repeatability: 'repeatable' }),
        ],
      }),
    );
  }

  function arrivals(): number {
    return backends.flatMap((backend) => backend.arrivals).length;
  }

  afterEach(async () => {
    harness.stop();
    await Promise.all(backends.map((backend) => backend.stop()));
  });

  it('does not take its own pause for silence of a backend, whose events lie in the socket', async () => {
    await start();
    await startBackends({ events: 60, gapMs: 30 });
    const answer = harness.call({ id: 'a', path: '/s/x' });
    await pause(300);
    await blockFor(900);
    expect((await answer).complete).toBe(true);
    expect(arrivals()).toBe(1);
    const paused = harness.lines.find(({ event }) => event === 'process_paused');
    expect(paused?.fields.milliseconds).toBeGreaterThan(600);
  });

  it('cuts no stream after its pause when the retry budget is exhausted', async () => {
    await start({ retryRatio: 0, retrySlack: 0 });
    await startBackends({ events: 60, gapMs: 30 });
    const answers = ['a', 'b', 'c'].map((id) => harness.call({ id, path: '/s/x' }));
    await pause(300);
    await blockFor(900);
    for (const answer of await Promise.all(answers)) expect(answer.complete).toBe(true);
  });

  it('waits for a plain answer that came during its pause', async () => {
    await start();
    await startBackends({ events: 0, gapMs: 600 });
    const answer = harness.call({ id: 'a', path: '/p/x' });
    await pause(200);
    await blockFor(700);
    expect((await answer).status).toBe(200);
    expect(arrivals()).toBe(1);
  });

  it('delivers an answer that came before the deadline that passed during its pause', async () => {
    await start();
    await startBackends({ events: 0, gapMs: 400 });
    const answer = harness.call({ id: 'a', path: '/p/x', headers: { deadline: '700' } });
    await pause(150);
    await blockFor(900);
    expect((await answer).status).toBe(200);
  });
});
