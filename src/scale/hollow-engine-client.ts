/**
 * Engines that exist only as a few maps inside a hollow daemon's process: they
 * answer orders, report, and stream short answers, without sockets.
 */
import { Result } from 'true-myth';
import type { TransportFailure } from '../common/http-client.js';
import type {
  CancelAnswer,
  EngineClient,
  EngineOrder,
  EngineReport,
  EngineRequest,
  Holding,
  OrderAnswer,
  OrderFence,
  ReportHandler,
  RequestHandler,
  RequestStream,
} from '../engines/engine-client.js';

const INCARNATION = 'hollow';
const CAPACITY_BYTES = 640e9;
const LOAD_MS = 800;
const ANSWER_MS = 200;

interface HollowEngine {
  epoch: number;
  sequence: number;
  number: number;
  readonly holdings: Map<string, Holding & { usedAt: number }>;
  readonly watchers: Set<ReportHandler>;
}

/** All engines that the daemons of one process talk to. */
export class HollowEngineClient implements EngineClient {
  private readonly engines = new Map<string, HollowEngine>();

  status(engine: string): Promise<Result<EngineReport, TransportFailure>> {
    return Promise.resolve(Result.ok(this.report(engine)));
  }

  order(
    address: string,
    fence: OrderFence,
    order: EngineOrder,
  ): Promise<Result<OrderAnswer, TransportFailure>> {
    const engine = this.engineAt(address);
    engine.epoch = Math.max(engine.epoch, fence.epoch);
    engine.sequence = fence.sequence;
    if (order.type === 'load') this.load(address, engine, order);
    if (order.type === 'unload') {
      engine.holdings.delete(order.tenant);
      this.push(address, engine);
    }
    return Promise.resolve(Result.ok({ accepted: true, report: this.report(address) }));
  }

  watchReports(address: string, handler: ReportHandler): RequestStream {
    const engine = this.engineAt(address);
    engine.watchers.add(handler);
    setImmediate(() => handler.onReport(this.report(address)));
    return { close: () => void engine.watchers.delete(handler) };
  }

  run(_engine: string, _request: EngineRequest, handler: RequestHandler): RequestStream {
    const timer = setTimeout(() => {
      handler.onAccepted({ inFlight: 1, slots: 8 });
      handler.onToken(0, 'hollow');
      handler.onDone(1, 'stop');
    }, ANSWER_MS);
    return { close: () => clearTimeout(timer) };
  }

  resume(engine: string, _id: string, _offset: number, handler: RequestHandler): RequestStream {
    setImmediate(() => handler.onBroken({ reason: 'lost', message: `${engine} is hollow` }));
    return { close: () => {} };
  }

  cancel(): Promise<Result<CancelAnswer, TransportFailure>> {
    return Promise.resolve(Result.ok({ ran: 'no', incarnation: INCARNATION }));
  }

  close(): void {
    this.engines.clear();
  }

  private engineAt(address: string): HollowEngine {
    const known = this.engines.get(address);
    if (known !== undefined) return known;
    const fresh = { epoch: 0, sequence: 0, number: 0, holdings: new Map(), watchers: new Set() };
    this.engines.set(address, fresh as HollowEngine);
    return fresh as HollowEngine;
  }

  private load(
    address: string,
    engine: HollowEngine,
    order: Extract<EngineOrder, { type: 'load' }>,
  ): void {
    const { replica } = order;
    const held = { replica, state: 'loading' as const, inFlight: 0, idleMs: 0, usedAt: Date.now() };
    engine.holdings.set(replica.tenant, held);
    setTimeout(() => {
      if (engine.holdings.get(replica.tenant) !== held) return;
      engine.holdings.set(replica.tenant, { ...held, state: 'loaded', usedAt: Date.now() });
      this.push(address, engine);
    }, LOAD_MS);
  }

  private push(address: string, engine: HollowEngine): void {
    for (const watcher of engine.watchers) watcher.onReport(this.report(address));
  }

  private report(address: string): EngineReport {
    const engine = this.engineAt(address);
    engine.number += 1;
    const holdings = [...engine.holdings.values()].map((held) => ({
      ...held,
      idleMs: Date.now() - held.usedAt,
    }));
    const { epoch, sequence, number } = engine;
    const fixed = { incarnation: INCARNATION, leaving: false, capacityBytes: CAPACITY_BYTES };
    return { ...fixed, epoch, sequence, number, holdings, cached: [] };
  }
}
