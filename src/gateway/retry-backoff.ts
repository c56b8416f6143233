/** Backoff between the sends of a request whose caller waits for the rest of its answer. */
import { steadyNow } from './steady-clock.js';

const FIRST_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 2_000;

/** The backoff of one request. */
export class RetryBackoff {
  private nextMs = FIRST_BACKOFF_MS;
  private endsAt = -Infinity;

  /** Whether the request may be sent. */
  get isOver(): boolean {
    return steadyNow() >= this.endsAt;
  }

  /** Begins a backoff, twice as long as the last one up to the maximum, and returns its length in milliseconds. */
  begin(): number {
    const milliseconds = this.nextMs;
    this.endsAt = steadyNow() + milliseconds;
    this.nextMs = Math.min(2 * milliseconds, MAX_BACKOFF_MS);
    return milliseconds;
  }
}
