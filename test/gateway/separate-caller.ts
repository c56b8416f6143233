/** Callers on threads of their own, which go on while the thread of the test is blocked. */
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { Worker } from 'node:worker_threads';

const SCRIPT = path.join(path.dirname(fileURLToPath(import.meta.url)), 'separate-caller.mjs');

/** A caller of one request whose thread goes on while the test's thread is blocked. */
export class SeparateCaller {
  private constructor(private readonly worker: Worker) {}

  static async start(address: string): Promise<SeparateCaller> {
    const [host, port] = address.split(':');
    const worker = new Worker(SCRIPT, { workerData: { host, port: Number(port) } });
    await new Promise((resolve) => worker.once('message', resolve));
    return new SeparateCaller(worker);
  }

  /** Connects after some milliseconds and writes one request. Resolves with what was received when the connection is closed. */
  call(afterMs: number): Promise<string> {
    const closed = new Promise<string>((resolve) =>
      this.worker.once('message', ({ received }: { received: string }) => resolve(received)),
    );
    this.worker.postMessage({ afterMs });
    return closed;
  }

  async stop(): Promise<void> {
    await this.worker.terminate();
  }
}
