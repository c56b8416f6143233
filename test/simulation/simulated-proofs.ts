/** A group of daemons that prove their configuration current, on a virtual clock. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { vi } from 'vitest';
import { leaseNow } from '../../src/common/lease-clock.js';
import { silentLogger } from '../../src/common/logger.js';
import type { MemberView } from '../../src/core/membership-messages.js';
import type { PeerBody } from '../../src/daemon/peer-transport.js';
import { CurrencyProofs } from '../../src/gateway/currency-proofs.js';

const MESSAGE_MS = 2;
const STORE_MS = 6;
const TICK_MS = 100;
const STEP_MS = 10;
/** Bytes of a question or an answer, with headers of IP and UDP: a bound from above. */
const MESSAGE_BYTES = 90;
const VERSION = 1;

/** What a run has shown. */
export interface ProofOutcome {
  /** Share of all daemons' time in which the proof was older than the lease. */
  readonly withoutLease: number;
  /** Greatest age of a proof at a daemon that has one, in milliseconds. */
  readonly greatestAgeMs: number;
  readonly storeCallsPerSecond: number;
  /** Sent by one daemon, on average. */
  readonly bytesPerSecond: number;
}

/** The group. Use it under vitest's fake timers. */
export class SimulatedProofs {
  /** Whether the store answers a daemon. */
  answers: (daemon: number) => boolean = () => true;
  /** Share of messages that are lost. */
  lossShare = 0;
  private readonly daemons: CurrencyProofs[];
  private readonly live: MemberView[];
  private readonly random = xoroshiro128plus(1);
  private storeCalls = 0;
  private messages = 0;
  private looks = 0;
  private looksWithoutLease = 0;
  private greatestAgeMs = 0;
  private begun = performance.now();

  constructor(
    private readonly count: number,
    private readonly asksPeers: boolean,
    private readonly leaseMs: number,
  ) {
    this.live = Array.from({ length: count }, (_, index) => {
      const view = { zone: 'a', site: '', incarnation: 1, state: 'alive' } as const;
      // Few machines are abler than the rest, as in the operators' sheet.
      return { address: `d-${index}`, capacity: index < 6 ? 1.3 : 0.3, ...view };
    });
    this.daemons = this.live.map((_, index) => this.daemon(index));
  }

  /** The first daemons of the common order: they read the store. */
  readers(): number[] {
    const order = this.daemons[0]?.['usableOrder'](leaseNow()) ?? [];
    return order.slice(0, 2).map((address) => Number(address.slice(2)));
  }

  /** Forgets what was counted. */
  resetCounts(): void {
    this.storeCalls = 0;
    this.messages = 0;
    this.looks = 0;
    this.looksWithoutLease = 0;
    this.greatestAgeMs = 0;
    this.begun = performance.now();
  }

  async play(seconds: number): Promise<void> {
    for (let at = 0; at < seconds * 1_000; at += STEP_MS) {
      // Daemons don't look at their clocks in step.
      for (const [index, daemon] of this.daemons.entries()) {
        if ((at + index * STEP_MS) % TICK_MS === 0) daemon.tick();
      }
      if (at % TICK_MS === 0) this.look();
      await vi.advanceTimersByTimeAsync(STEP_MS);
    }
  }

  outcome(): ProofOutcome {
    const seconds = (performance.now() - this.begun) / 1_000;
    return {
      withoutLease: this.looksWithoutLease / this.looks,
      greatestAgeMs: Math.round(this.greatestAgeMs),
      storeCallsPerSecond: this.storeCalls / seconds,
      bytesPerSecond: (this.messages * MESSAGE_BYTES) / seconds / this.count,
    };
  }

  private look(): void {
    for (const { lease } of this.daemons) {
      const ageMs = lease.ageMs(leaseNow());
      this.looks += 1;
      if (ageMs > this.leaseMs) this.looksWithoutLease += 1;
      if (Number.isFinite(ageMs)) this.greatestAgeMs = Math.max(this.greatestAgeMs, ageMs);
    }
  }

  private daemon(index: number): CurrencyProofs {
    const proofs = new CurrencyProofs({
      self: `d-${index}`,
      logger: silentLogger,
      asksPeers: this.asksPeers,
      live: () => this.live,
      version: () => VERSION,
      sendDatagram: (to, body) => this.send(index, Number(to.slice(2)), body),
      readStore: () => this.readStore(index),
      hearVersion: () => {},
    });
    proofs.lease.setVersion(VERSION);
    return proofs;
  }

  private async readStore(index: number): Promise<boolean> {
    this.storeCalls += 1;
    const askedAt = leaseNow();
    await new Promise((resolve) => setTimeout(resolve, STORE_MS));
    if (!this.answers(index)) return false;
    this.daemons[index]?.confirmed(VERSION, askedAt);
    return true;
  }

  private send(from: number, to: number, body: PeerBody): void {
    this.messages += 1;
    if (uniformFloat64(this.random) < this.lossShare) return;
    setTimeout(() => this.daemons[to]?.receive(`d-${from}`, body), MESSAGE_MS);
  }
}
