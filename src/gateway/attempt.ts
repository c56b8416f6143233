/** One send of a request to one backend, and the check of what comes back. */
import type http from 'node:http';
import type { Ran } from '../common/errors.js';
import type { RateLimitNotice } from '../core/backend-rate-limits.js';
import type { StreamGaps } from '../core/capacity/gap-samples.js';
import { EventStreamParser, type StreamEvent } from '../core/event-stream.js';
import {
  isStream,
  type BackendRecord,
  type CallerTenant,
  type Route,
} from '../core/service-configuration.js';
import { BackendExchange, type ExchangeFailure } from './backend-exchange.js';
import { forwardedHeaders, type CallerAnswer, type WholeAnswer } from './caller-answer.js';
import type { GatewayContext } from './gateway-context.js';
import type { AnswerHead } from './ports.js';
import type { CallerRequest } from './caller-request.js';
import { steadyNow } from './steady-clock.js';

/** How an attempt ended. */
export type AttemptEnd =
  /** The caller has been given the backend's whole answer. */
  | { readonly type: 'done'; readonly status: number }
  | {
      readonly type: 'failed';
      readonly ran: Ran;
      /** Whether any byte of the request may have reached the backend. */
      readonly reached: boolean;
      readonly reason: string;
      /** The backend did not answer at all, or not in time. */
      readonly silent: boolean;
      /** The backend broke the connection off before it answered. */
      readonly broken: boolean;
      /** The connection broke off under the request, before the answer began or after. */
      readonly cutOff: boolean;
      /** The backend refused because it lacks the model, or is another process. */
      readonly lacksModel: boolean;
      /** A failure that the backend vouches for; the caller may be given it. */
      readonly answer?: WholeAnswer;
    };

/** What an attempt needs. */
export interface AttemptOptions {
  readonly backend: BackendRecord;
  readonly route: Route;
  readonly request: CallerRequest;
  /** Whose key the caller has; undefined if it needs none. */
  readonly tenant: CallerTenant | undefined;
  /**
   * Priority told to the backend in place of the tenant's or the route's; undefined where no slots are kept
   * for all daemons, and the backend orders its requests itself.
   */
  readonly urgency: number | undefined;
  /** Time left until the request's deadline. */
  readonly remainingMs: number;
  /** The stream goes on after this event. */
  readonly lastEventId: string | undefined;
  /** Without a first byte after this time the attempt is given up. */
  readonly silentAfterMs: number;
  /** Without a further byte after this time a stream is given up. */
  readonly stalledAfterMs: number;
  /** Whether another backend could take the request over now. */
  readonly hasAlternative: () => boolean;
  /** The backend has said that it leaves, in whatever answer. */
  readonly onLeaving: () => void;
  /** What the answer says of the backend's rate limit. */
  readonly onRateLimit: (notice: RateLimitNotice) => void;
  /** The backend wants no request for so many milliseconds. */
  readonly onBackoff: (backoffMs: number) => void;
  /** The backend is silent and nobody else can take the request; called once. */
  readonly onSilent: () => void;
  /** Notes the gaps between events; undefined if they tell nothing of the backend. */
  readonly gaps: StreamGaps | undefined;
  readonly answer: CallerAnswer;
  readonly onEnd: (end: AttemptEnd) => void;
}

/** Between two looks for another backend while the present one is silent. */
const ALTERNATIVE_LOOK_MS = 100;
const FIRST_FAILURE_STATUS = 400;
/** Statuses that promise that the request has not run; a backend's own word is needed for that. */
const PROMISES = new Set([408, 421, 429, 503]);
const FIRST_SERVER_FAILURE_STATUS = 500;

/** One attempt under way. */
export class Attempt {
  private readonly exchange: BackendExchange;
  private readonly parser = new EventStreamParser();
  private readonly chunks: Buffer[] = [];
  private incoming: http.IncomingMessage | undefined;
  private head: AnswerHead | undefined;
  private timer: NodeJS.Timeout | undefined;
  private ended = false;
  private isPaused = false;
  /** Bytes of an answer that is gathered until it is whole. */
  private gatheredBytes = 0;
  private silenceTold = false;

  constructor(
    private readonly context: GatewayContext,
    private readonly options: AttemptOptions,
  ) {
    const { backend, request } = options;
    this.watch(options.silentAfterMs);
    this.exchange = new BackendExchange(
      {
        address: backend.address,
        method: request.method,
        path: request.path,
        headers: this.requestHeaders(),
        body: request.body,
      },
      context.agent,
      {
        onHead: (answer) => this.receiveHead(answer),
        onData: (chunk) => this.receiveData(chunk),
        onEnd: () => this.receiveEnd(),
        onFailure: (failure) => this.exchangeFailed(failure),
      },
    );
  }

  /** The backend it was sent to. */
  get backendId(): string {
    return this.options.backend.id;
  }

  /**
   * The backend has started again. What was sent to another address went to its earlier process; at the same
   * address, the later one may have taken the request before its start was known here.
   */
  backendRestarted(address: string): void {
    if (address === this.options.backend.address) return this.exchange.probe();
    this.exchange.giveUp('the backend has ended and started again');
  }

  /** Drops the attempt; its end is not told. */
  abort(): void {
    this.ended = true;
    clearTimeout(this.timer);
    this.options.gaps?.end();
    this.exchange.abort();
    this.releaseGathered();
  }

  private requestHeaders(): string[] {
    const { request, route, tenant, backend, remainingMs, lastEventId } = this.options;
    const { dialect, admission } = this.context;
    const own = dialect.backendHeaders({
      backend: backend.id,
      remainingMs,
      lastEventId,
      priority: this.options.urgency ?? tenant?.priority ?? route.priority,
      tenant: tenant?.name,
    });
    const replaced = new Set([
      ...dialect.systemHeaders,
      ...(admission.needsKeys ? [dialect.keyHeader] : []),
      ...Object.keys(own).map((name) => name.toLowerCase()),
      'content-length',
    ]);
    const headers = forwardedHeaders(request.rawHeaders, replaced);
    for (const [name, value] of Object.entries(own)) headers.push(name, value);
    const hasBody = request.body.length > 0 || request.method === 'POST';
    if (hasBody) headers.push('Content-Length', String(request.body.length));
    return headers;
  }

  private receiveHead(answer: http.IncomingMessage): void {
    const status = answer.statusCode ?? 0;
    this.incoming = answer;
    this.head = this.context.dialect.readAnswer(status, answer.headers);
    const { head } = this;
    // What another process at the address says of itself says nothing of this backend.
    if (head.leaving && !head.misdirected) this.options.onLeaving();
    if (this.isOwnAnswer(head)) this.options.onRateLimit(head.rateLimit);
    if (head.backoffMs !== undefined) this.options.onBackoff(head.backoffMs);
    const { attemptId } = this.options.request.head;
    if (head.attemptId !== undefined && attemptId !== undefined && head.attemptId !== attemptId) {
      return this.fail('unknown', 'the answer belongs to another request', {});
    }
    if (head.notRun || head.misdirected) {
      const lacksModel = head.misdirected;
      return this.fail('no', `refused with status ${status}`, { lacksModel, keep: true });
    }
    if (answer.headers['content-encoding'] !== undefined) {
      return this.fail('unknown', 'the answer is encoded', {});
    }
    if (status < FIRST_FAILURE_STATUS && !head.signed) {
      return this.fail('unknown', 'the answer is not signed', {});
    }
    this.watch(this.isEventStream() ? this.options.stalledAfterMs : Infinity);
  }

  /**
   * Whether the answer is the backend's own to this request. One that names no request may name a limit, but its silence lifts
   * none: it may be of any time.
   */
  private isOwnAnswer({ attemptId, misdirected, rateLimit }: AnswerHead): boolean {
    if (misdirected) return false;
    if (attemptId === undefined) return rateLimit.type === 'limited';
    return attemptId === this.options.request.head.attemptId;
  }

  private isEventStream(): boolean {
    const status = this.incoming?.statusCode ?? 0;
    return isStream(this.options.route) && status < FIRST_FAILURE_STATUS;
  }

  private receiveData(chunk: Buffer): void {
    if (this.ended) return;
    if (!this.isEventStream()) {
      this.chunks.push(chunk);
      this.gatheredBytes += chunk.length;
      this.context.answers.hold(chunk.length);
      return;
    }
    if (!this.isPaused) this.watch(this.options.stalledAfterMs);
    const events = this.parser.push(chunk);
    this.options.gaps?.recordRead(events.length, steadyNow());
    for (const event of events) this.passOn(event);
  }

  private passOn(event: StreamEvent): void {
    const { answer } = this.options;
    if (isAlreadySent(event, answer.lastEventId)) return;
    if (!answer.hasBegun) {
      const incoming = this.incoming;
      answer.beginStream(incoming?.statusCode ?? 0, incoming?.rawHeaders ?? []);
      this.context.metrics.firstPartSeconds.observe(
        { route: this.options.route.name },
        (steadyNow() - this.options.request.arrivedAt) / 1000,
      );
    }
    if (answer.sendEvent(event) || this.isPaused) return;
    this.setPaused(true);
    answer.onceDrained(() => this.setPaused(false));
  }

  /** There is no room to read on for the caller: that the backend is not heard meanwhile is no silence of its own. */
  private setPaused(paused: boolean): void {
    if (this.ended) return;
    this.isPaused = paused;
    this.options.gaps?.interrupt();
    this.exchange.setPaused(paused);
    this.watch(paused ? Infinity : this.options.stalledAfterMs);
  }

  private releaseGathered(): void {
    this.context.answers.hold(-this.gatheredBytes);
    this.gatheredBytes = 0;
  }

  private receiveEnd(): void {
    if (this.ended) return;
    const status = this.incoming?.statusCode ?? 0;
    if (this.isEventStream()) return this.endStream(status);
    const whole: WholeAnswer = {
      status,
      rawHeaders: this.incoming?.rawHeaders ?? [],
      body: Buffer.concat(this.chunks),
    };
    if (status < FIRST_FAILURE_STATUS) {
      this.end({ type: 'done', status }, () => this.options.answer.sendWhole(whole));
      return;
    }
    const vouched = this.head?.signed === true && !PROMISES.has(status);
    if (vouched && status < FIRST_SERVER_FAILURE_STATUS) {
      this.end({ type: 'done', status }, () => this.options.answer.sendWhole(whole));
      return;
    }
    this.end({
      type: 'failed',
      ran: this.head?.signed === true ? 'yes' : 'unknown',
      reached: true,
      reason: `answered with status ${status}`,
      silent: false,
      broken: false,
      cutOff: false,
      lacksModel: false,
      ...(vouched ? { answer: whole } : {}),
    });
  }

  private endStream(status: number): void {
    const { answer } = this.options;
    if (this.parser.incompleteBytes > 0 || !answer.hasBegun) {
      return this.fail('unknown', 'the stream ended within an event', {});
    }
    this.end({ type: 'done', status }, () => answer.endStream());
  }

  private exchangeFailed(failure: ExchangeFailure): void {
    const { reached, reason } = failure;
    this.end({
      type: 'failed',
      ran: reached ? 'unknown' : 'no',
      reached,
      reason,
      silent: !reached,
      broken: reached && this.incoming === undefined,
      cutOff: reached,
      lacksModel: false,
    });
  }

  private fail(
    ran: Ran,
    reason: string,
    extra: { lacksModel?: boolean; silent?: boolean; keep?: boolean },
  ): void {
    if (this.ended) return;
    // An answer that is not this request's own leaves a connection that cannot be trusted.
    if (extra.keep !== true) this.exchange.abort();
    this.end({
      type: 'failed',
      ran,
      reached: true,
      reason,
      silent: extra.silent === true,
      broken: false,
      cutOff: false,
      lacksModel: extra.lacksModel === true,
    });
  }

  private end(end: AttemptEnd, before?: () => void): void {
    if (this.ended) return;
    this.ended = true;
    clearTimeout(this.timer);
    this.options.gaps?.end();
    this.releaseGathered();
    before?.();
    this.options.onEnd(end);
  }

  private watch(limitMs: number): void {
    clearTimeout(this.timer);
    if (!Number.isFinite(limitMs)) return;
    this.timer = setTimeout(() => this.leaveSilent(limitMs), limitMs);
  }

  /** Where nobody else can take the request, leaving would only cost its place in the queue. */
  private leaveSilent(limitMs: number): void {
    const remainingMs = this.exchange.bodyTakenUntil + limitMs - steadyNow();
    if (remainingMs > 0) {
      this.timer = setTimeout(() => this.leaveSilent(limitMs), remainingMs);
      return;
    }
    if (this.options.hasAlternative()) {
      return this.fail('unknown', `silent for ${Math.round(limitMs)} ms`, { silent: true });
    }
    if (!this.silenceTold) this.options.onSilent();
    this.silenceTold = true;
    this.timer = setTimeout(() => this.leaveSilent(limitMs), ALTERNATIVE_LOOK_MS);
  }
}

/** Whether a resumed stream repeats an event that the caller has. */
function isAlreadySent(event: StreamEvent, lastEventId: string | undefined): boolean {
  if (event.id === undefined || lastEventId === undefined) return false;
  return Number(event.id) <= Number(lastEventId);
}
