/** Daemons that may own a service, on a virtual clock, with one store and views that may differ. */
import { Result } from 'true-myth';
import { vi } from 'vitest';
import { sleep } from '../../src/common/process.js';
import { silentLogger } from '../../src/common/logger.js';
import { eraOf, positionOf, revisionOf } from '../../src/core/store-position.js';
import type { MemberView } from '../../src/core/membership-messages.js';
import { Ownership } from '../../src/gateway/ownership.js';
import type { RecordFailure, RecordStore, StoredRecord } from '../../src/gateway/ports.js';

/** The service that is owned. */
export const SERVICE = 'models';

/** Between two looks of each daemon at its clock. */
const TICK_MS = 50;
/** Between two words of an owner. */
const WORD_PERIOD_MS = 250;

/** Daemons that see each other as the test says, and one store. */
export class OwnershipScene {
  readonly members = new Map<string, MemberView>();
  readonly ownerships = new Map<string, Ownership>();
  record: StoredRecord | undefined;
  /** Era of the store; 0 if it names none. */
  era = 0;
  /** Daemons that the store does not answer. */
  readonly turnedAway = new Set<string>();
  /** The store answers a write so long after it was done. */
  answerDelayMs = 0;
  /** A write is under way for so long before the store does it. */
  writeDelayMs = 0;
  writesUnderWay = 0;
  /** Pairs "a b" of daemons of which the first does not see or hear the second. */
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
      platformAnswersOthers: () =>
        [...this.members.keys()].some((other) => !this.turnedAway.has(other)),
      listed: () => [...this.members.values()],
      onChange: () => {},
    });
    this.ownerships.set(address, ownership);
    return ownership;
  }

  /** Neither of two daemons sees or hears the other any more. */
  cut(one: string, other: string): void {
    this.cuts.add(`${one} ${other}`);
    this.cuts.add(`${other} ${one}`);
  }

  /** The store comes back with an earlier record. */
  restore(copy: StoredRecord | undefined): void {
    this.era += 1;
    const revision = positionOf(this.era, revisionOf(copy?.revision ?? 0));
    this.record = copy === undefined ? undefined : { ...copy, revision };
  }

  /** They see and hear each other again. */
  heal(one: string, other: string): void {
    this.cuts.delete(`${one} ${other}`);
    this.cuts.delete(`${other} ${one}`);
  }

  /** Time in which each owner is heard by those that it reaches. */
  async runHeard(milliseconds: number, onTick = (): void => {}): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += TICK_MS) {
      await vi.advanceTimersByTimeAsync(TICK_MS);
      for (const ownership of this.ownerships.values()) ownership.tick();
      if (passed % WORD_PERIOD_MS === 0) this.tellOwners();
      onTick();
    }
    await vi.advanceTimersByTimeAsync(0);
  }

  private tellOwners(): void {
    for (const [from, { epoch }] of this.ownerships) {
      if (epoch === undefined) continue;
      for (const [to, ownership] of this.ownerships) {
        if (to !== from && !this.cuts.has(`${to} ${from}`)) ownership.hearOwner(from, epoch);
      }
    }
  }

  private async later<Answer>(answer: Answer): Promise<Answer> {
    if (this.answerDelayMs > 0) await sleep(this.answerDelayMs);
    return answer;
  }

  /** As the store does it: it compares revisions, which it gives out again after a restore. */
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

  private async reachStore(): Promise<void> {
    if (this.writeDelayMs === 0) return;
    this.writesUnderWay += 1;
    await sleep(this.writeDelayMs);
    this.writesUnderWay -= 1;
  }

  private seenBy(address: string): MemberView[] {
    return [...this.members.values()].filter(
      (view) => !this.cuts.has(`${address} ${view.address}`),
    );
  }

  private storeOf(address: string): RecordStore {
    const away = { type: 'unavailable' as const, reason: 'turned away' };
    const isAway = (): boolean => this.turnedAway.has(address);
    return {
      era: () => this.era,
      read: () => Promise.resolve(isAway() ? Result.err(away) : Result.ok(this.record)),
      list: () => Promise.resolve(Result.ok([])),
      write: async (_kind, name, value, revision) => {
        if (isAway()) return Result.err(away);
        const isOfThisEra = revision === undefined || eraOf(revision) === this.era;
        if (!isOfThisEra) return Result.err({ type: 'conflict' as const });
        await this.reachStore();
        return this.later(this.writeRecord(name, value, revision));
      },
      remove: () => Promise.resolve(),
    };
  }
}
