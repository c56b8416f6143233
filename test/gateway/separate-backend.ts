/** Backends on threads of their own, which go on while the thread of the test is blocked. */
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { Worker } from 'node:worker_threads';
import type { BackendRecord } from '../../src/core/service-configuration.js';

const SCRIPT = path.join(path.dirname(fileURLToPath(import.meta.url)), 'separate-backend.mjs');

/** How a backend answers: events, one each `gapMs`, or, if `events` is 0, one plain answer after `gapMs`. */
export interface SeparateAnswer {
  readonly events: number;
  readonly gapMs: number;
}

/** A backend whose thread goes on while the test's thread is blocked. */
export class SeparateBackend {
  /** Ids of the requests that it has received. */
  readonly arrivals: string[] = [];

  private constructor(
    private readonly worker: Worker,
    readonly id: string,
    private readonly port: number,
  ) {
    worker.on('message', ({ arrival }: { arrival?: string }) => {
      if (arrival !== undefined) this.arrivals.push(arrival);
    });
  }

  static async start(id: string, answer: SeparateAnswer): Promise<SeparateBackend> {
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

/** Blocks this thread at once. */
export function blockNow(milliseconds: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, milliseconds);
}

/** Blocks this thread, as a process without a processor is blocked: timers that expire meanwhile run before the sockets are read. */
export function blockFor(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    // The timers are the next phase of the event loop.
    setImmediate(() => {
      blockNow(milliseconds);
      resolve();
    });
  });
}
