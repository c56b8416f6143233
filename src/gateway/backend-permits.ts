/**
 * Requests to a backend that has named a rate limit: each needs a permit first, which one daemon grants for all
 * (`shared-limits.ts`). What an answer of any backend says of its limit is known at once here, and told to the others.
 */
import type { Logger } from '../common/logger.js';
import type { LimitDecision } from '../core/admission/rate-ledger.js';
import { permitLimit } from '../core/admission/permit-ledger.js';
import {
  BackendRateLimits,
  type RecordedRateLimit,
  type RateLimitNotice,
} from '../core/backend-rate-limits.js';
import { startKey } from '../core/backend-starts.js';
import { backendProcessOf, type BackendProcess } from '../core/announced-shutdowns.js';
import type { BackendRecord } from '../core/service-configuration.js';
import type { PeerBody } from '../daemon/peer-transport.js';
import type { BackendRateLimits as RateLimitNews } from '../proto/gen/internal_pb.js';
import { DigestGossip, type GossipLinks } from './digest-gossip.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import { decodeRateLimits, encodeRateLimitQuestion, encodeRateLimits } from './rate-limit-codec.js';
import type { SharedLimits } from './shared-limits.js';
import { steadyNow } from './steady-clock.js';

/** Without a decision of the holder, another permit is asked for after so long. */
const UNKNOWN_RETRY_MS = 250;
/** Backends that are remembered to have no permit left; names of ended ones must not fill the memory. */
const MOST_EXHAUSTED = 2_000;

/** The decision on a request for a permit. */
export type PermitDecision =
  { readonly type: 'granted' } | { readonly type: 'refused'; readonly retryAfterMs: number };

/** Options of {@link BackendPermits}. */
export interface BackendPermitsOptions extends GossipLinks {
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  /** Counts for all daemons, under the limits that {@link BackendPermits.limitOf} gives. */
  readonly limits: Pick<SharedLimits, 'admit' | 'giveBack'>;
  /** Some limit has changed: what waits looks again. */
  readonly onChange: () => void;
}

/** One request's permit for one backend, from the ask to its use or return. */
export class BackendPermit {
  private state: 'asked' | 'granted' | 'done' = 'asked';

  constructor(
    private readonly name: string,
    private readonly limits: BackendPermitsOptions['limits'],
  ) {}

  get isWanted(): boolean {
    return this.state === 'asked';
  }

  /** Takes the decision; false if nobody waits for it any more. */
  settle(decision: LimitDecision): boolean {
    const { isWanted } = this;
    const isGranted = decision.type === 'granted';
    if (isWanted) this.state = isGranted ? 'granted' : 'done';
    else if (isGranted) this.limits.giveBack(this.name, 1);
    return isWanted;
  }

  /** The request is sent. */
  use(): void {
    this.state = 'done';
  }

  /** The request is not sent there: another may have the permit. */
  release(): void {
    if (this.state === 'granted') this.limits.giveBack(this.name, 1);
    this.state = 'done';
  }
}

/** One daemon's part. */
export class BackendPermits {
  private readonly rates = new BackendRateLimits();
  private readonly gossip: DigestGossip<RecordedRateLimit>;
  /** Steady times until which no permit is expected, by the name of the limit. */
  private readonly exhaustedUntil = new Map<string, number>();

  constructor(private readonly options: BackendPermitsOptions) {
    this.gossip = new DigestGossip({
      ...options,
      digest: () => this.rates.stateDigest(),
      all: () => this.rates.all(),
      encode: encodeRateLimits,
      encodeQuestion: encodeRateLimitQuestion,
    });
  }

  /** What is believed of a backend's limit; to be kept with a request that is sent. */
  believed(backend: BackendProcess): RecordedRateLimit | undefined {
    return this.rates.limitOf(backend);
  }

  /** Requests a second that a backend takes from all daemons; undefined if it names no limit. */
  perSecond(backend: BackendProcess): number | undefined {
    return this.rates.limitOf(backend)?.perSecond;
  }

  /** Whether no permit is expected now, so that a request that can goes elsewhere. */
  isExhausted(backend: BackendProcess, now: number): boolean {
    const believed = this.rates.limitOf(backend);
    if (believed?.perSecond === undefined) return false;
    return (this.exhaustedUntil.get(startKey(believed.backend)) ?? 0) > now;
  }

  /** The limit that is kept under a name. */
  limitOf(name: string): ReturnType<typeof permitLimit> | undefined {
    const perSecond = this.rates.perSecondOf(name);
    return perSecond === undefined ? undefined : permitLimit(perSecond);
  }

  /** Takes what an answer to a request says of its backend's limit. */
  answered(
    backend: BackendRecord,
    notice: RateLimitNotice,
    sentUnder: RecordedRateLimit | undefined,
    request: string | undefined,
  ): void {
    const former = this.perSecond(backend);
    const belief = this.rates.recordAnswer(backendProcessOf(backend), notice, sentUnder);
    if (belief === undefined) return;
    this.log(belief, former, { source: 'answer', request });
    this.gossip.tell(belief);
    this.options.onChange();
  }

  /** A permit for a backend that names a limit; the decision may come at once. */
  ask(
    backend: BackendRecord,
    request: string | undefined,
    onDecision: (decision: PermitDecision) => void,
  ): BackendPermit {
    const name = startKey(this.rates.limitOf(backend)?.backend ?? backend);
    const { limits } = this.options;
    const permit = new BackendPermit(name, limits);
    // The decision comes in a later turn: the caller has the permit object by then.
    setImmediate(() => {
      if (!permit.isWanted) return;
      limits.admit(name, 1, (decision) => {
        if (permit.settle(decision)) onDecision(this.decided(name, request, decision));
      });
    });
    return permit;
  }

  /** Looks at the clock; call it a few times a second. */
  tick(): void {
    this.gossip.tick();
  }

  /** Takes a message of another daemon; false if it is of another kind. */
  receive(from: string, body: PeerBody): boolean {
    if (body.case !== 'backendRateLimits') return false;
    const { knownDigest } = body.value;
    if (knownDigest === undefined) this.hear(from, body.value);
    else this.gossip.answer(from, knownDigest);
    return true;
  }

  private hear(from: string, message: RateLimitNews): void {
    const heard = decodeRateLimits(message);
    const former = new Map(
      heard.map(({ backend }) => [startKey(backend), this.perSecond(backend)]),
    );
    const news = this.rates.merge(heard);
    for (const belief of news) {
      this.log(belief, former.get(startKey(belief.backend)), { source: 'peer', from });
    }
    if (news.length > 0) this.options.onChange();
  }

  private decided(
    name: string,
    request: string | undefined,
    decision: LimitDecision,
  ): PermitDecision {
    this.options.metrics.permits.inc({ answer: decision.type });
    if (decision.type === 'granted') return decision;
    const isRefused = decision.type === 'over_limit';
    const retryAfterMs = isRefused ? decision.retryAfterMs : UNKNOWN_RETRY_MS;
    this.noteExhausted(name, steadyNow() + retryAfterMs);
    this.options.logger.info('permit_refused', {
      request,
      backend: name,
      reason: decision.type,
      perSecond: this.rates.perSecondOf(name),
      retryAfterMs: Math.round(retryAfterMs),
    });
    return { type: 'refused', retryAfterMs };
  }

  private noteExhausted(name: string, until: number): void {
    this.exhaustedUntil.delete(name);
    this.exhaustedUntil.set(name, until);
    if (this.exhaustedUntil.size <= MOST_EXHAUSTED) return;
    const [oldest] = this.exhaustedUntil.keys();
    if (oldest !== undefined) this.exhaustedUntil.delete(oldest);
  }

  private log(
    { backend, generation, perSecond }: RecordedRateLimit,
    formerPerSecond: number | undefined,
    origin: Readonly<Record<string, string | undefined>>,
  ): void {
    const { id, start } = backend;
    this.options.logger.info(perSecond === undefined ? 'rate_limit_ended' : 'rate_limit_named', {
      backend: id,
      start,
      perSecond,
      formerPerSecond,
      generation,
      ...origin,
    });
  }
}
