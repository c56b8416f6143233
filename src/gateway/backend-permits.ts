/**
 * Permits for requests to backends that announce a rate limit. One daemon, the holder, grants the permits on behalf of all
 * daemons (`shared-limits.ts`). A daemon applies a limit announced in a backend's answer at once and sends it to the other daemons.
 */
import type { Logger } from '../common/logger.js';
import type { LimitDecision } from '../core/admission/rate-ledger.js';
import { permitLimit } from '../core/admission/permit-ledger.js';
import {
  BackendRateLimits,
  type RecordedRateLimit,
  type RateLimitNotice,
} from '../core/backend-rate-limits.js';
import { BrittleBackends, type AnsweredRejections } from '../core/brittle-backends.js';
import { startKey } from '../core/backend-starts.js';
import { backendProcessOf, type BackendProcess } from '../core/announced-shutdowns.js';
import type { BackendRecord } from '../core/service-configuration.js';
import type { PeerBody } from '../daemon/peer-transport.js';
import type { BackendRateLimits as RateLimitsMessage } from '../proto/gen/internal_pb.js';
import { DigestGossip, type GossipLinks } from './digest-gossip.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import { decodeRateLimits, encodeRateLimitDigest, encodeRateLimits } from './rate-limit-codec.js';
import type { SharedLimits } from './shared-limits.js';
import { steadyNow } from './steady-clock.js';

/** Delay before another permit is requested if the holder has made no decision. */
const UNDECIDED_RETRY_MS = 250;
/** Maximum number of backends recorded as having no permit left. Names of ended backends must not exhaust the memory. */
const MAX_EXHAUSTED_BACKENDS = 2_000;

/** The decision on a request for a permit. */
export type PermitDecision =
  { readonly type: 'granted' } | { readonly type: 'refused'; readonly retryAfterMs: number };

/** What an answer says about the limits of its backend. */
export interface AnsweredLimits {
  readonly rateLimit: RateLimitNotice;
  readonly rejections: AnsweredRejections;
}

/** Options of {@link BackendPermits}. */
export interface BackendPermitsOptions extends GossipLinks {
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  /** Counts for all daemons, under the limits that {@link BackendPermits.limitOf} gives. */
  readonly limits: Pick<SharedLimits, 'admit' | 'giveBack'>;
  /** Called when a limit has changed, so that waiting requests are checked again. */
  readonly onChange: () => void;
}

/** One request's permit for one backend, from the request for the permit until it is used or returned. */
export class BackendPermit {
  private state: 'asked' | 'granted' | 'done' = 'asked';

  constructor(
    private readonly name: string,
    private readonly limits: BackendPermitsOptions['limits'],
  ) {}

  /** Whether the decision is pending. */
  get isPending(): boolean {
    return this.state === 'asked';
  }

  /** Applies the decision. Returns false if the request no longer waits for it; a granted permit is then returned. */
  settle(decision: LimitDecision): boolean {
    const { isPending } = this;
    const isGranted = decision.type === 'granted';
    if (isPending) this.state = isGranted ? 'granted' : 'done';
    else if (isGranted) this.limits.giveBack(this.name, 1);
    return isPending;
  }

  /** Marks the permit as used: the request is sent. */
  use(): void {
    this.state = 'done';
  }

  /** Returns the permit: the request is not sent to this backend, so another request may have the permit. */
  release(): void {
    if (this.state === 'granted') this.limits.giveBack(this.name, 1);
    this.state = 'done';
  }
}

/** The permits and recorded rate limits of one daemon. */
export class BackendPermits {
  private readonly rates = new BackendRateLimits();
  private readonly brittle = new BrittleBackends();
  private readonly gossip: DigestGossip<RecordedRateLimit>;
  /** Times of the steady clock until which no permit is expected, by the name of the limit. */
  private readonly exhaustedUntil = new Map<string, number>();

  constructor(private readonly options: BackendPermitsOptions) {
    this.gossip = new DigestGossip({
      ...options,
      digest: () => this.rates.stateDigest(),
      allEntries: () => this.rates.all(),
      encode: encodeRateLimits,
      encodeRequest: encodeRateLimitDigest,
    });
  }

  /** Returns the recorded limit of a backend. The caller stores it with each request that it sends. */
  recordedLimit(backend: BackendProcess): RecordedRateLimit | undefined {
    return this.rates.limitOf(backend);
  }

  /** Returns the requests per second that a backend accepts from all daemons together; undefined if it announces no limit. */
  perSecond(backend: BackendProcess): number | undefined {
    return this.rates.limitOf(backend)?.perSecond;
  }

  /** Returns whether no permit is expected now, so that requests should prefer other backends. */
  isExhausted(backend: BackendProcess, now: number): boolean {
    const recorded = this.rates.limitOf(backend);
    if (recorded?.perSecond === undefined) return false;
    return (this.exhaustedUntil.get(startKey(recorded.backend)) ?? 0) > now;
  }

  /** Returns the limit recorded under a name, or undefined. */
  limitOf(name: string): ReturnType<typeof permitLimit> | undefined {
    const perSecond = this.rates.perSecondOf(name);
    return perSecond === undefined ? undefined : permitLimit(perSecond);
  }

  /**
   * Returns whether this daemon has as many requests in flight at a backend as it may; always false for a backend that is not
   * brittle.
   * @param daemons - Number of daemons that send to it.
   */
  isFull(backend: BackendRecord, inFlight: number, daemons: number): boolean {
    return inFlight >= this.brittle.inFlightLimit(backend, daemons);
  }

  /** Number of backends that have announced that they fall over if they must reject too many requests. */
  get brittleBackends(): number {
    return this.brittle.size;
  }

  /** Forgets brittle backends that are no longer listed. */
  keepOnly(listed: readonly BackendRecord[]): void {
    if (this.brittle.size > 0) this.brittle.keepOnly(new Set(listed.map(startKey)));
  }

  /** Records the limits that a backend announces in its answer to a request. `sentUnder` is the limit recorded when the request was sent. */
  recordAnswer(
    backend: BackendRecord,
    limits: AnsweredLimits,
    sentUnder: RecordedRateLimit | undefined,
    request: string | undefined,
  ): void {
    const notice = this.effectiveLimit(backend, limits, request);
    const former = this.perSecond(backend);
    const recorded = this.rates.recordAnswer(backendProcessOf(backend), notice, sentUnder);
    if (recorded === undefined) return;
    this.brittle.recordOwnLimit(backend, recorded);
    this.log(recorded, former, { source: 'answer', request });
    this.gossip.publish(recorded);
    this.options.onChange();
  }

  /** Returns the announced rate limit, or a lower one that protects a brittle backend from rejections. */
  private effectiveLimit(
    backend: BackendRecord,
    { rateLimit, rejections }: AnsweredLimits,
    request: string | undefined,
  ): RateLimitNotice {
    const wasBrittle = this.brittle.toleratedBy(backend);
    const recorded = this.recordedLimit(backend);
    const now = steadyNow();
    const notice = this.brittle.recordAnswer(backend, rejections, rateLimit, recorded, now);
    const tolerated = this.brittle.toleratedBy(backend);
    const { id, start } = backend;
    if (tolerated !== wasBrittle) {
      this.options.logger.info('backend_brittle', {
        backend: id,
        start,
        request,
        tolerated,
        former: wasBrittle,
      });
    }
    if (tolerated !== undefined && rejections.isRejection) {
      this.options.metrics.brittleRejections.inc();
      const perSecond = notice.type === 'limited' ? notice.perSecond : undefined;
      this.options.logger.info('brittle_rejection', {
        backend: id,
        start,
        request,
        tolerated,
        perSecond,
      });
    }
    return notice;
  }

  /** Requests a permit for a backend that announces a limit. `onDecision` is called in a later turn of the event loop. */
  request(
    backend: BackendRecord,
    request: string | undefined,
    onDecision: (decision: PermitDecision) => void,
  ): BackendPermit {
    const name = startKey(this.rates.limitOf(backend)?.backend ?? backend);
    const { limits } = this.options;
    const permit = new BackendPermit(name, limits);
    // The decision is made in a later turn of the event loop, when the caller has the permit object.
    setImmediate(() => {
      if (!permit.isPending) return;
      limits.admit(name, 1, (decision) => {
        if (permit.settle(decision)) onDecision(this.handleDecision(name, request, decision));
      });
    });
    return permit;
  }

  /** Handles a change of the set of live daemons. */
  groupChanged(): void {
    this.gossip.groupChanged();
  }

  /** Runs periodic work; call it a few times a second. */
  tick(): void {
    this.gossip.tick();
  }

  /** Handles a message of another daemon. Returns false if it is of another kind. */
  receive(from: string, body: PeerBody): boolean {
    if (body.case !== 'backendRateLimits') return false;
    const { knownDigest } = body.value;
    if (knownDigest === undefined) this.mergeFrom(from, body.value);
    else this.gossip.reply(from, knownDigest);
    return true;
  }

  private mergeFrom(from: string, message: RateLimitsMessage): void {
    const received = decodeRateLimits(message);
    const former = new Map(
      received.map(({ backend }) => [startKey(backend), this.perSecond(backend)]),
    );
    const newer = this.rates.merge(received);
    for (const recorded of newer) {
      this.log(recorded, former.get(startKey(recorded.backend)), { source: 'peer', from });
    }
    if (newer.length > 0) this.options.onChange();
  }

  private handleDecision(
    name: string,
    request: string | undefined,
    decision: LimitDecision,
  ): PermitDecision {
    this.options.metrics.permits.inc({ answer: decision.type });
    if (decision.type === 'granted') return decision;
    const isRefused = decision.type === 'over_limit';
    const retryAfterMs = isRefused ? decision.retryAfterMs : UNDECIDED_RETRY_MS;
    this.recordExhausted(name, steadyNow() + retryAfterMs);
    this.options.logger.info('permit_refused', {
      request,
      backend: name,
      reason: decision.type,
      perSecond: this.rates.perSecondOf(name),
      retryAfterMs: Math.round(retryAfterMs),
    });
    return { type: 'refused', retryAfterMs };
  }

  private recordExhausted(name: string, until: number): void {
    this.exhaustedUntil.delete(name);
    this.exhaustedUntil.set(name, until);
    if (this.exhaustedUntil.size <= MAX_EXHAUSTED_BACKENDS) return;
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
