/**
 * Runs the router of one daemon: handles its events one at a time, sends requests to
 * engines, passes messages from engines and pool owners to the router, and responds to
 * callers.
 */
import type { Clock } from '../common/clock.js';
import { responseFor, serviceError, type ErrorKind } from '../common/errors.js';
import { faultText, type Logger } from '../common/logger.js';
import { Mailbox, startConsumer, startTicker } from '../common/process.js';
import { startReplyTimeout, type ReplyTimeout } from '../common/reply-timeout.js';
import { PRIORITY_CLASSES } from '../core/documents.js';
import type { TenantLocation, WakeRequest } from '../core/pool-messages.js';
import { LeastLoadedChoice } from '../core/replica-choice-least-loaded.js';
import { Router } from '../core/router.js';
import type { RoutedRequest, RouterEffect, RouterEvent } from '../core/router-messages.js';
import type { EngineClient, RequestHandler, RequestStream } from '../engines/engine-client.js';
import type { CallerExchange } from './caller-exchange.js';
import type { Directory } from './directory.js';
import type { KeyClaims } from './key-claims.js';
import type { DaemonMetrics } from './metrics.js';

/** Milliseconds between two ticks of the router, which check queues and renewals. */
const TICK_MS = 100;

/** Dependencies of {@link RequestService}. */
export interface RequestServiceOptions {
  readonly self: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: DaemonMetrics;
  readonly engines: EngineClient;
  readonly directory: Directory;
  readonly claims: KeyClaims;
  readonly sendWake: (owner: string, pool: string, wake: WakeRequest) => void;
}

/** A request and the exchange with its caller. */
export interface CallerRequest {
  readonly request: RoutedRequest;
  readonly exchange: CallerExchange;
  readonly prompt: string;
  readonly maxTokens: number;
}

interface RunningRequest extends CallerRequest {
  readonly arrivedAt: number;
  readonly deadlineTimeout: ReplyTimeout;
  stream: RequestStream | undefined;
  /** Number of connections opened so far; events of older connections are ignored. */
  connection: number;
  sentAt: number;
  waitedForLoad: boolean;
}

/** Routes the requests received by one daemon. */
export class RequestService {
  private readonly router: Router;
  private readonly events = new Mailbox<RouterEvent>(65_536);
  private readonly running = new Map<string, RunningRequest>();
  private readonly ticker: { stop(): void };
  private onIdle: (() => void) | undefined;

  constructor(private readonly options: RequestServiceOptions) {
    const { self, directory, clock } = options;
    this.router = new Router({ self, directory, choice: new LeastLoadedChoice() }, clock.now());
    const onError = this.onError.bind(this);
    startConsumer(this.events, (event) => this.handle(event), onError);
    this.ticker = startTicker(TICK_MS, () => this.tick(), onError);
  }

  /** Number of unfinished requests. */
  get unfinished(): number {
    return this.running.size;
  }

  /** The router's state, for the status report. */
  get state(): Router {
    return this.router;
  }

  /**
   * Accepts a request and writes the response to its exchange. Returns false if the id is in use.
   */
  submit(caller: CallerRequest): boolean {
    const { request } = caller;
    if (this.running.has(request.id)) return false;
    const now = this.options.clock.now();
    const deadlineTimeout = startReplyTimeout(Math.max(0, request.deadline - now), () =>
      this.events.offer({ type: 'deadline', id: request.id }),
    );
    this.running.set(request.id, {
      ...caller,
      arrivedAt: now,
      deadlineTimeout,
      stream: undefined,
      connection: 0,
      sentAt: 0,
      waitedForLoad: false,
    });
    this.options.metrics.requests.inc({ priority: priorityName(request.priority) });
    this.handle({ type: 'arrived', request });
    const waiting = this.running.get(request.id);
    const isWarm = this.router.route(request.tenant)?.isLoaded() ?? false;
    if (waiting !== undefined && waiting.sentAt === 0) waiting.waitedForLoad = !isWarm;
    return true;
  }

  /** Ends a request whose caller has closed the connection. */
  callerDisconnected(id: string): void {
    const running = this.running.get(id);
    if (running === undefined) return;
    this.events.offer({ type: 'caller_gone', id });
    this.options.claims.keepUntilExpiry(id);
    this.removeRequest(running);
  }

  /** Handles a pool owner's message about a tenant's location. */
  locationChanged(from: string, location: TenantLocation): void {
    this.events.offer({ type: 'location', from, location });
  }

  /** Stops sending new requests to an engine that is leaving. */
  engineLeaving(engine: string): void {
    this.events.offer({ type: 'engine_leaving', engine });
  }

  /** Sends requests again to an engine that is listed as live again. */
  engineReturned(engine: string): void {
    this.router.engineReturned(engine);
  }

  /** Notifies the router that the configuration has changed. */
  configurationChanged(): void {
    this.events.offer({ type: 'configuration_changed' });
  }

  /** Refuses new requests; resolves when the last running request has ended. */
  drain(): Promise<void> {
    this.events.offer({ type: 'drain' });
    return new Promise((resolve) => {
      this.onIdle = resolve;
      if (this.running.size === 0) resolve();
    });
  }

  /** Stops the service without waiting for requests. */
  stop(): void {
    this.ticker.stop();
    this.events.close();
    for (const running of this.running.values()) running.deadlineTimeout.cancel();
  }

  private onError(fault: unknown): void {
    this.options.logger.error('router_fault', { reason: faultText(fault) });
  }

  private tick(): void {
    this.events.offer({ type: 'tick' });
    this.options.metrics.waiting.set(this.router.waitingCount());
    this.options.metrics.unfinishedRequests.set(this.running.size);
  }

  private handle(event: RouterEvent): void {
    const effects = this.router.handle(event, this.options.clock.now());
    for (const effect of effects) this.perform(effect);
  }

  private perform(effect: RouterEffect): void {
    switch (effect.type) {
      case 'wake':
        return this.options.sendWake(effect.owner, effect.pool, effect.wake);
      case 'claim':
        return this.claim(effect.request);
      case 'send':
        return this.send(effect.id, effect.engine, effect.incarnation);
      case 'resume':
        return this.resume(effect.id, effect.engine, effect.delayMs);
      case 'cancel':
        return this.cancel(effect.id, effect.engine, effect.incarnation);
      case 'abandon':
        void this.options.engines.cancel(effect.engine, effect.id);
        return;
      case 'refuse':
        return this.refuse(effect.id, effect.kind, effect.reason, effect.retryAfterMs);
    }
  }

  private claim(request: RoutedRequest): void {
    const { id, tenant, idempotencyKey = '' } = request;
    void this.options.claims.claim(tenant, idempotencyKey, id).then((outcome) => {
      this.events.offer({ type: 'claim_settled', id, outcome });
    });
  }

  private send(id: string, engine: string, incarnation: string): void {
    const running = this.running.get(id);
    if (running === undefined) return;
    running.sentAt = this.options.clock.now();
    this.observeWait(running);
    const { tenant, priority } = running.request;
    const { prompt, maxTokens } = running;
    const request = { id, tenant, incarnation, priority, prompt, maxTokens };
    running.stream?.close();
    running.stream = this.options.engines.run(engine, request, this.handlerFor(running));
  }

  private observeWait(running: RunningRequest): void {
    const seconds = (running.sentAt - running.arrivedAt) / 1000;
    const priority = priorityName(running.request.priority);
    if (running.waitedForLoad) this.options.metrics.coldStarts.observe({ priority }, seconds);
    else this.options.metrics.dispatchTime.observe(seconds);
  }

  private resume(id: string, engine: string, delayMs: number): void {
    setTimeout(() => {
      const running = this.running.get(id);
      if (running === undefined) return;
      running.stream?.close();
      const offset = running.exchange.tokens;
      const handler = this.handlerFor(running);
      running.stream = this.options.engines.resume(engine, id, offset, handler);
    }, delayMs);
  }

  private cancel(id: string, engine: string, incarnation: string): void {
    void this.options.engines.cancel(engine, id).then((reply) => {
      const isSameProcess = reply.isOk && reply.value.incarnation === incarnation;
      const ran = isSameProcess ? reply.value.ran : 'unknown';
      this.events.offer({ type: 'cancelled', id, ran });
    });
  }

  /**
   * Handles events of a new connection; events of older connections of the same request are
   * dropped.
   */
  private handlerFor(running: RunningRequest): RequestHandler {
    const { id } = running.request;
    running.connection += 1;
    const connection = running.connection;
    const post = (event: RouterEvent): void => {
      if (running.connection === connection) this.events.offer(event);
    };
    return {
      onAccepted: (load) => post({ type: 'accepted', id, load }),
      onRefused: (refusal) => post({ type: 'refused', id, refusal }),
      onToken: (offset, text) => {
        if (running.connection !== connection) return;
        if (running.exchange.addToken(offset, text)) this.events.offer({ type: 'token', id });
      },
      onDone: (tokens, reason) => {
        if (running.connection !== connection) return;
        this.responseEnded(running, tokens, reason);
      },
      onBroken: (failure) => post({ type: 'broken', id, sent: failure.reason !== 'not_sent' }),
    };
  }

  /**
   * Completes a response if all its tokens were received; otherwise treats the connection as
   * broken.
   */
  private responseEnded(running: RunningRequest, tokens: number, reason: 'stop' | 'length'): void {
    const { id, tenant } = running.request;
    if (running.exchange.tokens !== tokens) {
      this.events.offer({ type: 'broken', id, sent: true });
      return;
    }
    running.exchange.finish(reason);
    this.options.claims.keepUntilExpiry(id);
    const milliseconds = this.options.clock.now() - running.arrivedAt;
    const waitedMs = running.sentAt - running.arrivedAt;
    this.options.logger.info('request_done', {
      request: id,
      tenant,
      tokens,
      milliseconds,
      waitedMs,
    });
    this.handle({ type: 'done', id });
    this.removeRequest(running);
  }

  private refuse(id: string, kind: ErrorKind, reason: string, retryAfterMs?: number): void {
    const running = this.running.get(id);
    if (running === undefined) return;
    const extra = retryAfterMs === undefined ? {} : { retryAfterSeconds: retryAfterMs / 1000 };
    running.exchange.fail(serviceError(kind, reason, extra));
    this.settleKey(running.request, kind);
    this.options.metrics.refusals.inc({ kind });
    const { tenant } = running.request;
    const milliseconds = this.options.clock.now() - running.arrivedAt;
    this.options.logger.info('request_refused', { request: id, tenant, kind, milliseconds });
    this.removeRequest(running);
  }

  /**
   * Releases the idempotency key of a refused request only if the request has not run and never
   * will.
   */
  private settleKey(request: RoutedRequest, kind: ErrorKind): void {
    const { id, tenant, idempotencyKey } = request;
    if (idempotencyKey === undefined) return;
    const neverRuns = responseFor(kind).ran === 'no' || kind === 'duplicate_request';
    if (neverRuns) this.options.claims.release(tenant, idempotencyKey, id);
    else this.options.claims.keepUntilExpiry(id);
  }

  private removeRequest(running: RunningRequest): void {
    running.deadlineTimeout.cancel();
    running.connection += 1;
    running.stream?.close();
    this.running.delete(running.request.id);
    if (this.running.size === 0) this.onIdle?.();
  }
}

function priorityName(priority: number): string {
  return PRIORITY_CLASSES[priority] ?? 'batch';
}
