/**
 * A group of daemons that allocate one backend's slots, on a virtual clock: datagrams take a fixed
 * time and may be lost; requests run at the backend for a fixed time.
 */
import { vi } from 'vitest';
import { silentLogger, type LogFields } from '../../src/common/logger.js';
import type { SlotResponse } from '../../src/core/admission/slot-allocator.js';
import type { MemberView } from '../../src/core/membership-messages.js';
import type { BackendRecord } from '../../src/core/service-configuration.js';
import type { PeerBody } from '../../src/daemon/peer-transport.js';
import { GatewayMetrics } from '../../src/gateway/gateway-metrics.js';
import { SlotAdmission, type SlotClaim } from '../../src/gateway/slot-admission.js';

const MESSAGE_MS = 2;
const TICK_MS = 100;
/** Upper bound of the bytes of a datagram with one entry, including names and IP and UDP headers. */
const DATAGRAM_BYTES = 130;

/** One request of a simulation. */
export interface SimulatedRequest {
  readonly daemon: number;
  /** When the request arrived at its daemon. */
  readonly requestedAt: number;
  /** Types of the responses to the slot request, in order. */
  responses: SlotResponse['type'][];
  /** When the request was sent to the backend; undefined if it was not sent. */
  sentAt: number | undefined;
  /** Whether the request has completed, was refused or cancelled, or has failed. */
  ended: boolean;
}

/** Options of {@link SimulatedSlots}. */
export interface SlotSimulationOptions {
  readonly daemons: number;
  readonly slots: number;
  readonly runMs: number;
}

/** The simulated group. Requires vitest's fake timers. */
export class SimulatedSlots {
  readonly requests: SimulatedRequest[] = [];
  /** Log lines of all daemons. */
  readonly logLines: { event: string; fields: LogFields }[] = [];
  /** Datagrams sent, including lost ones. */
  datagrams = 0;
  /** Most concurrent requests at the backend. */
  maxRunning = 0;
  isBackendServing = true;
  /** Returns whether the network drops a datagram from one daemon to another. */
  drops: (from: number, to: number, body: PeerBody) => boolean = () => false;
  private running = 0;
  /** Numbers of the daemons that the group considers live. */
  private liveDaemons: number[] = [];
  private readonly daemons: SlotAdmission[];
  private readonly dead = new Set<number>();
  private readonly claims = new Map<SimulatedRequest, SlotClaim>();

  constructor(private readonly options: SlotSimulationOptions) {
    this.daemons = Array.from({ length: options.daemons }, (_, index) => this.daemon(index));
    for (const daemon of this.daemons) daemon.tick();
  }

  /** Upper bound of the bytes sent. */
  get bytes(): number {
    return this.datagrams * DATAGRAM_BYTES;
  }

  /** Returns the number of the daemon that allocates the slots. */
  allocator(): number {
    const runningDaemon = this.daemons.find((_, index) => !this.dead.has(index));
    return Number(runningDaemon?.allocatorOf('backend').slice(2));
  }

  /** Returns the numbers of the running daemons other than the slot allocator. */
  others(): number[] {
    const allocator = this.allocator();
    return [...this.daemons.keys()].filter((index) => index !== allocator && !this.dead.has(index));
  }

  /** Starts a request at a daemon, which sends it to the backend once it has a slot. */
  requestSlot(daemon: number, giveUpAfterMs = 5_000, rank = 1): SimulatedRequest {
    const now = performance.now();
    const request: SimulatedRequest = {
      daemon,
      requestedAt: now,
      responses: [],
      sentAt: undefined,
      ended: false,
    };
    this.requests.push(request);
    const claim = this.daemons[daemon]!.claim({
      backend: this.backend(),
      request: String(this.requests.length),
      rank,
      arrivedAt: now,
      dueAt: now + 200,
      giveUpAt: now + giveUpAfterMs,
      tenant: '',
      work: 0,
      ownerLoad: undefined,
      onDecision: (answer) => this.handleResponse(request, answer),
    });
    this.claims.set(request, claim);
    if (claim.isHeld) this.run(request);
    return request;
  }

  /** Simulates a disconnect of the caller. */
  disconnect(request: SimulatedRequest): void {
    request.ended = true;
    this.claims.get(request)?.release();
  }

  /** Kills a daemon and its requests; the others detect it after the given time. */
  kill(index: number, detectedAfterMs: number): void {
    this.dead.add(index);
    for (const request of this.requests) {
      if (request.daemon !== index || request.ended) continue;
      request.ended = true;
      if (request.sentAt !== undefined) this.running -= 1;
    }
    setTimeout(() => {
      this.liveDaemons = this.liveDaemons.filter((other) => other !== index);
      for (const daemon of this.daemons) daemon.groupChanged();
    }, detectedAfterMs);
  }

  /** Advances the simulation. */
  async simulate(milliseconds: number): Promise<void> {
    for (let at = 0; at < milliseconds; at += TICK_MS) {
      for (const [index, daemon] of this.daemons.entries()) {
        if (!this.dead.has(index)) daemon.tick();
      }
      await vi.advanceTimersByTimeAsync(TICK_MS);
    }
  }

  private handleResponse(request: SimulatedRequest, answer: SlotResponse): void {
    if (this.dead.has(request.daemon)) return;
    request.responses.push(answer.type);
    if (answer.type === 'granted') this.run(request);
    if (answer.type === 'refused' || answer.type === 'unknown') request.ended = true;
  }

  private run(request: SimulatedRequest): void {
    request.sentAt = performance.now();
    this.running += 1;
    this.maxRunning = Math.max(this.maxRunning, this.running);
    setTimeout(() => {
      if (request.ended) return;
      request.ended = true;
      this.running -= 1;
      this.claims.get(request)?.release();
    }, this.options.runMs);
  }

  private daemon(index: number): SlotAdmission {
    this.liveDaemons.push(index);
    const recordLine = (event: string, fields: LogFields = {}): void => {
      this.logLines.push({ event, fields });
    };
    return new SlotAdmission({
      self: `d-${index}`,
      logger: { ...silentLogger, info: recordLine, warn: recordLine },
      metrics: new GatewayMetrics(),
      live: () => this.liveDaemons.map(member),
      reachable: () => this.liveDaemons.map((other) => `d-${other}`),
      slotsOf: (id) => (id === 'backend' && this.isBackendServing ? this.options.slots : undefined),
      sendDatagram: (to, body) => this.send(index, Number(to.slice(2)), body),
    });
  }

  private send(from: number, to: number, body: PeerBody): void {
    this.datagrams += 1;
    if (this.dead.has(from) || this.drops(from, to, body)) return;
    setTimeout(() => {
      if (!this.dead.has(to)) this.daemons[to]?.receive(`d-${from}`, body);
    }, MESSAGE_MS);
  }

  private backend(): BackendRecord {
    return {
      id: 'backend',
      service: 'service',
      address: '127.0.0.1:1',
      zone: 'a',
      slots: this.options.slots,
      leaving: false,
      models: [],
      revision: 1,
      sequence: 0,
      inMemory: [],
      onDisk: [],
    };
  }
}

function member(index: number): MemberView {
  return {
    address: `d-${index}`,
    zone: 'a',
    site: '',
    incarnation: 1,
    state: 'alive',
    capacity: 1,
  };
}
