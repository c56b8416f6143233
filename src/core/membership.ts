/**
 * Group membership after the SWIM protocol: a direct probe, then indirect probes,
 * then suspicion, and death only if the suspicion is not refuted. Updates are
 * piggybacked on probes. A member that starts, or finds many others at once,
 * exchanges its full state with them one after another. Deterministic: the order
 * of probes comes from rendezvous hashing, without random numbers.
 */
import { firstCandidate, rankCandidates } from '../common/rendezvous.js';
import { ExchangeSchedule } from './exchange-schedule.js';
import type {
  MembershipEffect,
  MembershipEvent,
  MemberView,
  ProbeMessage,
  StateMessage,
} from './membership-messages.js';
import { MembershipUpdates } from './membership-updates.js';

/** Timing parameters of the protocol, in milliseconds. */
export interface MembershipTimings {
  /** Time between two probes sent by a daemon. Default 300. */
  readonly probePeriodMs: number;
  /** Timeout of a direct probe. Default 120. */
  readonly directTimeoutMs: number;
  /** Timeout of the indirect probes that follow. Default 280. */
  readonly indirectTimeoutMs: number;
  /** Time after which an unrefuted suspect counts as dead. Default 900. */
  readonly suspicionMs: number;
  /** Time for which a dead member is remembered. Default 60,000. */
  readonly deadRetentionMs: number;
}

/** Default timing parameters. */
export const DEFAULT_MEMBERSHIP_TIMINGS: MembershipTimings = {
  probePeriodMs: 300,
  directTimeoutMs: 120,
  indirectTimeoutMs: 280,
  suspicionMs: 900,
  deadRetentionMs: 60_000,
};

/** Number of other daemons that send an indirect probe. */
const INDIRECT_PROBES = 3;
/** Number of daemons notified immediately of a death or a planned leave. */
const IMMEDIATE_NOTIFICATIONS = 6;
/** Time between two probes of seeds that are not members yet, in milliseconds. */
const SEED_PERIOD_MS = 1_000;

interface MemberEntry {
  view: MemberView;
  since: number;
}

interface Probe {
  readonly target: string;
  readonly sentAt: number;
  indirect: boolean;
  /** The requester of an indirect probe; undefined for a probe of this daemon's own. */
  readonly onBehalfOf?: { readonly address: string; readonly sequence: number };
}

/** One daemon's view of the group. */
export class Membership {
  private readonly members = new Map<string, MemberEntry>();
  private readonly probes = new Map<number, Probe>();
  private readonly pendingUpdates = new MembershipUpdates();
  private readonly exchanges: ExchangeSchedule;
  private exchangeCount = 0;
  private seeds: readonly string[] = [];
  private probeOrder: string[] = [];
  private probeRound = 0;
  private sequence = 0;
  private lastProbeAt = 0;
  private lastSeedAt = 0;
  private effects: MembershipEffect[] = [];
  private changed = false;

  constructor(
    private self: MemberView,
    private readonly times: MembershipTimings = DEFAULT_MEMBERSHIP_TIMINGS,
  ) {
    this.exchanges = new ExchangeSchedule(self.address);
  }

  /** The view of itself that this daemon sends to others. */
  get ownView(): MemberView {
    return this.self;
  }

  /** Members that may be given roles, including this daemon: neither dead nor leaving. */
  live(): MemberView[] {
    const others = [...this.members.values()].map((entry) => entry.view);
    return [this.self, ...others].filter(isLive);
  }

  /** Members that are not known to be dead, including draining ones and this daemon. */
  reachable(): MemberView[] {
    return this.all().filter(({ address }) => this.isReachable(address));
  }

  /** Whether a daemon may be given roles. */
  isLive(address: string): boolean {
    if (address === this.self.address) return isLive(this.self);
    const entry = this.members.get(address);
    return entry !== undefined && isLive(entry.view);
  }

  /** Whether a daemon is a known member that is not dead; true while it drains. */
  isReachable(address: string): boolean {
    if (address === this.self.address) return true;
    const state = this.members.get(address)?.view.state;
    return state !== undefined && state !== 'dead';
  }

  /** Whether a daemon is in the member table, dead or not. */
  isKnown(address: string): boolean {
    return address === this.self.address || this.members.has(address);
  }

  /** All daemons in the member table, including dead ones and this daemon. */
  all(): MemberView[] {
    return [this.self, ...[...this.members.values()].map((entry) => entry.view)];
  }

  /** Handles one event and returns the effects for the caller to carry out. */
  handle(event: MembershipEvent, now: number): MembershipEffect[] {
    this.effects = [];
    this.changed = false;
    if (event.type === 'tick') this.tick(now);
    if (event.type === 'message') this.receive(event.from, event.message, now);
    if (event.type === 'seeds') this.setSeeds(event.addresses, now);
    if (event.type === 'leave') this.leave();
    if (this.changed) this.effects.push({ type: 'changed' });
    return this.effects;
  }

  private tick(now: number): void {
    this.checkProbes(now);
    this.expireSuspicions(now);
    if (now - this.lastSeedAt >= SEED_PERIOD_MS) this.probeSeeds(now);
    this.exchangeState(now);
    if (now - this.lastProbeAt < this.times.probePeriodMs) return;
    this.lastProbeAt = now;
    const target = this.nextTarget();
    if (target !== undefined) this.probe(target, now);
  }

  private setSeeds(addresses: readonly string[], now: number): void {
    const known = new Set(this.seeds);
    this.seeds = addresses;
    const isNew = (address: string): boolean =>
      !known.has(address) && this.isUnknownOrDead(address);
    if (addresses.some(isNew)) this.exchanges.recordNewMembers(now);
  }

  /** Exchanges the full state with one other daemon, alternating between unknown seeds and known members. */
  private exchangeState(now: number): void {
    if (!this.exchanges.isDue(now)) return;
    const unknownSeeds = this.seeds.filter((seed) => this.isUnknownOrDead(seed));
    const others = [...this.members.keys()].filter((address) => this.isReachable(address));
    // An unknown seed may never answer, so every other exchange goes to a known member.
    const prefersUnknownSeed = this.exchangeCount % 2 === 0 && unknownSeeds.length > 0;
    const partners = prefersUnknownSeed || others.length === 0 ? unknownSeeds : others;
    this.exchangeCount += 1;
    const partner = firstCandidate(`${this.self.address}~${this.exchangeCount}`, partners);
    if (partner === undefined) return;
    this.exchanges.begin(now);
    this.sendState(partner, 'state_request', this.all());
  }

  private receiveState(from: string, message: StateMessage, now: number): void {
    if (message.type === 'state_request') this.sendStateAnswer(from, message.members);
    let foundMembers = false;
    for (const view of message.members) {
      const wasLive = this.isLive(view.address);
      // The sender of the state spreads its members itself, so this daemon need not forward them.
      this.applyUpdate(view, now, 'announced');
      foundMembers ||= !wasLive && this.isLive(view.address);
    }
    if (foundMembers) this.exchanges.recordNewMembers(now);
  }

  /** Sends a member the views that it lacks or holds in an older version. */
  private sendStateAnswer(to: string, known: readonly MemberView[]): void {
    const views = new Map(known.map((view) => [view.address, view]));
    const missingViews = this.all().filter((view) => {
      const other = views.get(view.address);
      return other === undefined ? view.state !== 'dead' : supersedes(view, other);
    });
    this.sendState(to, 'state_answer', missingViews);
  }

  private sendState(to: string, type: StateMessage['type'], members: readonly MemberView[]): void {
    this.effects.push({ type: 'send_state', to, message: { type, members } });
  }

  private probeSeeds(now: number): void {
    this.lastSeedAt = now;
    const unknownSeeds = this.seeds.filter((seed) => this.isUnknownOrDead(seed));
    // Probing all seeds of a large group would cause a burst; a few lead to the rest through updates.
    for (const seed of rankCandidates(`${this.self.address}/${now}`, unknownSeeds).slice(0, 3)) {
      this.probe(seed, now);
    }
  }

  private isUnknownOrDead(address: string): boolean {
    if (address === this.self.address) return false;
    const known = this.members.get(address);
    return known === undefined || known.view.state === 'dead';
  }

  private nextTarget(): string | undefined {
    for (let attempt = 0; attempt < 2; attempt++) {
      while (this.probeOrder.length > 0) {
        const target = this.probeOrder.pop();
        if (target !== undefined && this.isReachable(target)) return target;
      }
      this.probeRound += 1;
      const reachable = [...this.members.keys()].filter((address) => this.isReachable(address));
      this.probeOrder = rankCandidates(`${this.self.address}#${this.probeRound}`, reachable);
    }
    return undefined;
  }

  private probe(target: string, now: number, onBehalfOf?: Probe['onBehalfOf']): void {
    this.sequence += 1;
    const requesterField = onBehalfOf === undefined ? {} : { onBehalfOf };
    this.probes.set(this.sequence, { target, sentAt: now, indirect: false, ...requesterField });
    this.send(target, { type: 'ping', sequence: this.sequence, updates: this.takeUpdates(target) });
  }

  private checkProbes(now: number): void {
    for (const [sequence, probe] of this.probes) {
      const age = now - probe.sentAt;
      if (age >= this.times.directTimeoutMs + this.times.indirectTimeoutMs) {
        this.probes.delete(sequence);
        if (probe.onBehalfOf === undefined) this.suspect(probe.target, now);
      } else if (age >= this.times.directTimeoutMs && !probe.indirect) {
        probe.indirect = true;
        if (probe.onBehalfOf === undefined) this.probeIndirectly(sequence, probe.target);
      }
    }
  }

  private probeIndirectly(sequence: number, target: string): void {
    const relays = this.live()
      .map((member) => member.address)
      .filter((address) => address !== target && address !== this.self.address);
    const chosen = rankCandidates(`${this.self.address}/${sequence}`, relays);
    for (const relay of chosen.slice(0, INDIRECT_PROBES)) {
      const updates = this.takeUpdates(relay);
      this.send(relay, { type: 'ping_request', sequence, target, updates });
    }
  }

  private suspect(address: string, now: number): void {
    const entry = this.members.get(address);
    if (entry === undefined || entry.view.state === 'suspect' || entry.view.state === 'dead')
      return;
    this.setMember({ ...entry.view, state: 'suspect' }, now);
    this.queueUpdate(address);
    // Informs the suspect immediately, so that it can refute the suspicion.
    this.probe(address, now);
  }

  private expireSuspicions(now: number): void {
    for (const [address, entry] of this.members) {
      const age = now - entry.since;
      if (entry.view.state === 'suspect' && age >= this.times.suspicionMs) {
        this.setMember({ ...entry.view, state: 'dead' }, now);
        this.queueUpdate(address);
        this.notifyImmediately(address);
      }
      if (entry.view.state === 'dead' && age >= this.times.deadRetentionMs) {
        this.members.delete(address);
        this.pendingUpdates.remove(address);
      }
    }
  }

  /** Notifies a few other members immediately, in addition to the updates piggybacked on probes. */
  private notifyImmediately(about: string): void {
    const others = this.live()
      .map((member) => member.address)
      .filter((address) => address !== this.self.address);
    for (const address of rankCandidates(`${this.self.address}!${about}`, others).slice(
      0,
      IMMEDIATE_NOTIFICATIONS,
    )) {
      this.sequence += 1;
      const updates = this.takeUpdates(address);
      this.send(address, { type: 'ping', sequence: this.sequence, updates });
    }
  }

  private receive(from: string, message: ProbeMessage | StateMessage, now: number): void {
    if ('members' in message) this.receiveState(from, message, now);
    else this.receiveProbe(from, message, now);
  }

  private receiveProbe(from: string, message: ProbeMessage, now: number): void {
    for (const update of message.updates) this.applyUpdate(update, now, 'update');
    if (message.type === 'ping') this.acknowledge(from, message.sequence, now);
    if (message.type === 'ping_request') {
      this.probe(message.target, now, { address: from, sequence: message.sequence });
    }
    if (message.type === 'ack') this.handleAck(message.sequence);
  }

  private acknowledge(from: string, sequence: number, now: number): void {
    const updates = this.takeUpdates(from);
    this.send(from, { type: 'ack', sequence, updates });
    // Probes a sender that is new, or that this daemon considers dead, to make it a member.
    if (this.isUnknownOrDead(from)) this.probe(from, now);
  }

  private handleAck(sequence: number): void {
    const probe = this.probes.get(sequence);
    if (probe === undefined) return;
    this.probes.delete(sequence);
    const requester = probe.onBehalfOf;
    if (requester === undefined) return;
    const updates = this.takeUpdates(requester.address);
    this.send(requester.address, { type: 'ack', sequence: requester.sequence, updates });
  }

  /** Applies a member's view if it supersedes the current one. */
  private applyUpdate(update: MemberView, now: number, origin: 'update' | 'announced'): void {
    if (update.address === this.self.address) return this.refute(update);
    const known = this.members.get(update.address)?.view;
    if (known === undefined && update.state === 'dead') return;
    if (known !== undefined && !supersedes(update, known)) return;
    this.setMember(update, now);
    if (origin === 'update') this.queueUpdate(update.address);
    else this.pendingUpdates.remove(update.address);
  }

  /** Refutes a report that this daemon is suspect or dead, by a higher incarnation. */
  private refute(update: MemberView): void {
    const needsNoRefutation = update.state === this.self.state || update.state === 'alive';
    if (needsNoRefutation || update.incarnation < this.self.incarnation) return;
    this.self = { ...this.self, incarnation: update.incarnation + 1 };
    this.queueUpdate(this.self.address);
  }

  private leave(): void {
    this.self = { ...this.self, incarnation: this.self.incarnation + 1, state: 'leaving' };
    this.queueUpdate(this.self.address);
    this.changed = true;
    this.notifyImmediately(this.self.address);
  }

  private setMember(view: MemberView, now: number): void {
    const before = this.members.get(view.address)?.view;
    this.members.set(view.address, { view, since: now });
    // A suspicion alone changes no role. Suspicions are frequent and short when machines are busy.
    if (before === undefined || isLive(before) !== isLive(view)) this.changed = true;
  }

  private queueUpdate(address: string): void {
    this.pendingUpdates.add(address, this.members.size);
  }

  /** Updates for one message: this daemon's view, the receiver's if it is not alive, and the newest others. */
  private takeUpdates(receiver: string): MemberView[] {
    const first = [this.self];
    const about = this.members.get(receiver)?.view;
    if (about !== undefined && about.state !== 'alive') first.push(about);
    return this.pendingUpdates.take(first, receiver, (address) => this.members.get(address)?.view);
  }

  private send(to: string, message: ProbeMessage): void {
    this.effects.push({ type: 'send', to, message });
  }
}

/** Whether a member may be given roles. A suspect may, until it counts as dead. */
function isLive(view: MemberView): boolean {
  return view.state === 'alive' || view.state === 'suspect';
}

const STATE_RANK = { alive: 0, suspect: 1, leaving: 2, dead: 3 } as const;

/** Whether an update replaces the known view: the higher incarnation wins; within one, the higher rank of the state. */
function supersedes(update: MemberView, known: MemberView): boolean {
  if (update.incarnation !== known.incarnation) return update.incarnation > known.incarnation;
  return STATE_RANK[update.state] > STATE_RANK[known.state];
}
