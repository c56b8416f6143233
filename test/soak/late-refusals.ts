/** Late refusals of one replica: it keeps some requests for a time without working on them, and then refuses them. */
import type http from 'node:http';
import { refuse } from './refusal.js';
import type { RunLog } from './run-log.js';
import type { SeededRandom } from './seeded-random.js';

/** What a replica needs of its other behaviour. */
export interface LateRefusalOptions {
  readonly random: SeededRandom;
  readonly log: Pick<RunLog, 'lateRefusals'>;
  /** Milliseconds for which the replica sends nothing. */
  readonly silentMs: () => number;
}

/** Which requests are refused, and the time for which each is kept before. */
export interface RefusalShares {
  readonly share: number;
  readonly resumedShare: number;
  readonly delayMs: number;
}

/** Refuses a share of the requests for a time. */
export class LateRefusals {
  private share = 0;
  private resumedShare = 0;
  private delayMs = 0;
  /** Unix milliseconds. */
  private until = 0;

  constructor(private readonly options: LateRefusalOptions) {}

  /** Begins; the shares of the requests, and of those that go on with a stream, are refused `delayMs` after they have come. */
  begin({ share, resumedShare, delayMs }: RefusalShares, milliseconds: number): void {
    this.share = share;
    this.resumedShare = resumedShare;
    this.delayMs = delayMs;
    this.until = Date.now() + milliseconds;
  }

  /** Returns whether a request is kept, to be refused later. */
  keep(attemptId: string, response: http.ServerResponse): boolean {
    const share =
      response.req.headers['last-event-id'] === undefined ? this.share : this.resumedShare;
    if (Date.now() >= this.until || !this.options.random.chance(share)) return false;
    setTimeout(() => this.refuse(attemptId, response), this.delayMs).unref();
    return true;
  }

  private refuse(attemptId: string, response: http.ServerResponse): void {
    const { silentMs, log } = this.options;
    const waitMs = silentMs();
    if (waitMs > 0) return void setTimeout(() => this.refuse(attemptId, response), waitMs).unref();
    if (response.destroyed) return;
    log.lateRefusals.push({ attemptId, at: Date.now() });
    refuse(response, 503);
  }
}
