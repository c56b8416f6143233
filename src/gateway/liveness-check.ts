/**
 * Checks whether the process of a backend runs, by requests that take none of its slots. A backend that replies has read what was
 * sent to it before; one whose process does not run replies to nothing, although its connections open.
 */
import type { FaultBoundary } from '../common/fault-boundary.js';
import { sleep } from '../common/process.js';
import type { BackendRecord } from '../core/service-configuration.js';
import type { BackendControl } from './ports.js';
import { steadyNow } from './steady-clock.js';

/** Shortest time from one request to the next, in milliseconds. */
const MIN_INTERVAL_MS = 100;

/** Options of {@link LivenessCheck}. */
export interface LivenessCheckOptions {
  readonly control: Pick<BackendControl, 'responds'>;
  readonly boundary: FaultBoundary;
  /** Called at the first reply. */
  readonly onReply: () => void;
}

/** Checks one backend at a time, repeatedly until it replies. */
export class LivenessCheck {
  /** Number of the newest check; an older one has been stopped. */
  private newest = 0;

  constructor(private readonly options: LivenessCheckOptions) {}

  /** Starts to check a backend, and stops to check any other. */
  start(backend: BackendRecord): void {
    this.stop();
    this.options.boundary.watch(this.repeat(backend, this.newest));
  }

  /** Stops the check; its callback is not called any more. */
  stop(): void {
    this.newest += 1;
  }

  private async repeat(backend: BackendRecord, check: number): Promise<void> {
    while (check === this.newest) {
      const startedAt = steadyNow();
      const hasReplied = await this.options.control.responds(backend);
      if (check !== this.newest) return;
      if (hasReplied) return this.options.onReply();
      await sleep(Math.max(0, MIN_INTERVAL_MS - (steadyNow() - startedAt)));
    }
  }
}
