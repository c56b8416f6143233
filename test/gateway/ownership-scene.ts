/** Simulates daemons that may own a service, on a virtual clock, with one store and membership views that may differ. */
import { Result } from 'true-myth';
import { vi } from 'vitest';
import { sleep } from '../../src/common/process.js';
import { silentLogger } from '../../src/common/logger.js';
import { eraOf, positionOf, revisionOf } from '../../src/core/store-position.js';
import type { MemberView } from '../../src/core/membership-messages.js';
import { Ownership } from '../../src/gateway/ownership.js';
import type { RecordFailure, RecordStore, StoredRecord } from '../../src/gateway/ports.js';

/** Name of the service that the daemons own. */
export const SERVICE = 'models';

/** Interval between ticks of each daemon, in milliseconds. */
const TICK_MS = 50;
/** Interval between announcements of an owner, in milliseconds. */
const ANNOUNCEMENT_PERIOD_MS = 250;

/** Daemons whose view of each other the test controls, and one store. */
export class OwnershipScene {
  readonly members = new Map<string, MemberView>();
  readonly ownerships = new Map<string, Ownership>();
  record: StoredRecord | undefined;
  /** Era of the store; 0 if the store reports none. */
  era = 0;
  /** Daemons whose requests the store rejects. */
  readonly rejectedByStore = new Set<string>();
  /** Daemons that reach too few backends. */
  readonly withoutBackends = new Set<string>();
  /** Whether resignations are lost. */
  losesResignations = false;
  /** Delay of the store's response after a write, in milliseconds. */
  answerDelayMs = 0;
  /** Delay before the store carries out a write, in milliseconds. */
  writeDelayMs = 0;
  writesInFlight = 0;
  /** Pairs "a b" of daemons of which the first receives nothing from the second. */
  private readonly cuts = new Set<string>();

  /** @param backendsCheckEpochs - Whether backends refuse orders of a lower epoch. */
  constructor(private readonly backendsCheckEpochs = true) {}

  join(address: string, incarnation: number, capacity = 1): Ownership {
    const place = { address, zone: 'a', site: '' };
    const member: MemberView = { ...place, incarnation, state: 'alive', capacity };
    this.members.set(address, member);
    const ownership = new Ownership({
      service: SERVICE,
      peers: {
        address,
        membership: { ownView: member, all: () => this.seenBy(address) },
        live: () => this.seenBy(address).filter((view) => view.state === 'alive'),
      },
      store: this.storeOf(address),
      logger: silentLogger,
      backendsCheckEpochs: this.backendsCheckEpochs,
      othersReachPlatform: () =>
        [...this.members.keys()].some((other) => !this.rejectedByStore.has(other)),
      listed: () => [...this.members.values()],
      reachesBackends: () => !this.withoutBackends.has(address),
      findSuccessor: () => Promise.resolve(this.successorOf(address)),
      announceResignation: (epoch, successor) =>
        this.announceResignation(address, epoch, successor),
      onChange: () => {},
    });
    this.ownerships.set(address, ownership);
    return ownership;
  }

  /** Cuts the connection between two daemons in both directions. */
  cut(one: string, other: string): void {
    this.cuts.add(`${one} ${other}`);
    this.cuts.add(`${other} ${one}`);
  }

  /** Restores the store from a backup that holds an earlier record. */
  restore(copy: StoredRecord | undefined): void {
    this.era += 1;
    const revision = positionOf(this.era, revisionOf(copy?.revision ?? 0));
    this.record = copy === undefined ? undefined : { ...copy, revision };
  }

  /** Restores the connection between two daemons. */
  heal(one: string, other: string): void {
    this.cuts.delete(`${one} ${other}`);
    this.cuts.delete(`${other} ${one}`);
  }

  /** Advances the clock while each owner announces itself to the daemons that it reaches. */
  async run(milliseconds: number, onTick = (): void => {}): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += TICK_MS) {
      await vi.advanceTimersByTimeAsync(TICK_MS);
      for (const ownership of this.ownerships.values()) ownership.tick();
      if (passed % ANNOUNCEMENT_PERIOD_MS === 0) this.announceOwners();
      onTick();
    }
    await vi.advanceTimersByTimeAsync(0);
  }

  private successorOf(address: string): string | undefined {
    return [...this.members.keys()].find(
      (other) => other !== address && !this.withoutBackends.has(other),
    );
  }

  private announceResignation(from: string, epoch: number, successor: string): void {
    if (this.losesResignations) return;
    for (const [to, ownership] of this.ownerships) {
      const isCut = this.cuts.has(`${to} ${from}`);
      if (to !== from && !isCut) ownership.applyResignation(from, epoch, successor);
    }
  }

  private announceOwners(): void {
    for (const [from, { epoch }] of this.ownerships) {
      if (epoch === undefined) continue;
      for (const [to, ownership] of this.ownerships) {
        if (to !== from && !this.cuts.has(`${to} ${from}`))
          ownership.applyAnnouncement(from, epoch);
      }
    }
  }

  private async delayResponse<Answer>(answer: Answer): Promise<Answer> {
    if (this.answerDelayMs > 0) await sleep(this.answerDelayMs);
    return answer;
  }

  /** Writes like the store: compares revisions, which the store uses again after a restore. */
  private writeRecord(
    name: string,
    value: unknown,
    replaced: number | undefined,
  ): Result<StoredRecord, RecordFailure> {
    const { record } = this;
    const isCreated = replaced === undefined;
    if (isCreated !== (record === undefined)) return Result.err({ type: 'conflict' });
    const revisionBefore = revisionOf(record?.revision ?? 0);
    if (!isCreated && revisionOf(replaced) !== revisionBefore) {
      return Result.err({ type: 'conflict' });
    }
    this.record = { name, value, revision: positionOf(this.era, revisionBefore + 1) };
    return Result.ok(this.record);
  }

  private async delayWrite(): Promise<void> {
    if (this.writeDelayMs === 0) return;
    this.writesInFlight += 1;
    await sleep(this.writeDelayMs);
    this.writesInFlight -= 1;
  }

  private seenBy(address: string): MemberView[] {
    return [...this.members.values()].filter(
      (view) => !this.cuts.has(`${address} ${view.address}`),
    );
  }

  private storeOf(address: string): RecordStore {
    const rejection = {
      type: 'unavailable' as const,
      reason: 'the store rejects requests of this daemon',
    };
    const isRejected = (): boolean => this.rejectedByStore.has(address);
    return {
      era: () => this.era,
      read: () => Promise.resolve(isRejected() ? Result.err(rejection) : Result.ok(this.record)),
      list: () => Promise.resolve(Result.ok([])),
      write: async (_kind, name, value, revision) => {
        if (isRejected()) return Result.err(rejection);
        const isOfCurrentEra = revision === undefined || eraOf(revision) === this.era;
        if (!isOfCurrentEra) return Result.err({ type: 'conflict' as const });
        await this.delayWrite();
        return this.delayResponse(this.writeRecord(name, value, revision));
      },
      remove: () => Promise.resolve(),
    };
  }
}
