/**
 * Membership by probing, after the SWIM protocol: a direct probe, then probes
 * through others, then suspicion, and death only after a suspicion that was not
 * refuted. News ride on the probes. Deterministic: the order of probes comes
 * from rendezvous hashing, so it needs no randomness.
 */
import { rankCandidates } from '../common/rendezvous.js';
import type {
  MembershipEffect,
  MembershipEvent,
  MemberView,
  ProbeMessage,
} from './membership-messages.js';

/** Times of the protocol, in milliseconds. */
export interface MembershipTimes {
  /** Between two probes of one daemon. Default 300. */
  readonly probePeriodMs: number;
  /** Until a direct probe counts as lost. Default 120. */
  readonly directTimeoutMs: number;
  /** Until the probes through others count as lost too. Default 280. */
  readonly indirectTimeoutMs: number;
  /** From suspicion to death. Default 900. */
  readonly suspicionMs: number;
  /** That a dead member is remembered. Default 60,000. */
  readonly rememberDeadMs: number;
}

/** The defaults. */
export const DEFAULT_MEMBERSHIP_TIMES: MembershipTimes = {
  probePeriodMs: 300,
  directTimeoutMs: 120,
  indirectTimeoutMs: 280,
  suspicionMs: 900,
  rememberDeadMs: 60_000,
};

/** Daemons asked to probe in this one's place. */
const INDIRECT_PROBES = 3;
/** Pieces of news on one message. */
const UPDATES_PER_MESSAGE = 8;
/** Times that a piece of news is passed on, times the logarithm of the group's size. */
const SPREAD_FACTOR = 3;
/** Daemons told at once of a death or a leave. */
const DIRECT_NEWS = 6;
/** Seeds that are not members yet are probed again after so long. */
const SEED_PERIOD_MS = 1_000;

interface MemberEntry {
  view: MemberView;
  since: number;
}

interface Probe {
  readonly target: string;
  readonly sentAt: number;
  indirect: boolean;
  /** Set when the probe is made for another daemon. */
  readonly onBehalfOf?: { readonly address: string; readonly sequence: number };
}

interface News {
  readonly address: string;
  remaining: number;
}

/** The view of the group at one daemon. */
export class Membership {
  private readonly members = new Map<string, MemberEntry>();
  private readonly probes = new Map<number, Probe>();
  private readonly news = new Map<string, News>();
  private seeds: readonly string[] = [];
  private order: string[] = [];
  private round = 0;
  private sequence = 0;
  private lastProbeAt = 0;
  private lastSeedAt = 0;
  private effects: MembershipEffect[] = [];
  private changed = false;

  constructor(
    private self: MemberView,
    private readonly times: MembershipTimes = DEFAULT_MEMBERSHIP_TIMES,
  ) {}

  /** This daemon as it presents itself. */
  get own(): MemberView {
    return this.self;
  }

  /** Members that may be given duties, this daemon among them: not dead and not leaving. */
  live(): MemberView[] {
    const others = [...this.members.values()].map((entry) => entry.view);
    return [this.self, ...others].filter(isLive);
  }

  /** Whether a daemon may be given duties. */
  isLive(address: string): boolean {
    if (address === this.self.address) return isLive(this.self);
    const entry = this.members.get(address);
    return entry !== undefined && isLive(entry.view);
  }

  /** Whether a daemon still answers: also while it drains. */
  isReachable(address: string): boolean {
    if (address === this.self.address) return true;
    const state = this.members.get(address)?.view.state;
    return state !== undefined && state !== 'dead';
  }

  /** Whether a daemon has been heard of and not been forgotten yet, dead or not. */
  isKnown(address: string): boolean {
    return address === this.self.address || this.members.has(address);
  }

  /** All daemons ever heard of and not yet forgotten. */
  all(): MemberView[] {
    return [this.self, ...[...this.members.values()].map((entry) => entry.view)];
  }

  /** Handles one event and returns what is to be done. */
  handle(event: MembershipEvent, now: number): MembershipEffect[] {
    this.effects = [];
    this.changed = false;
    if (event.type === 'tick') this.tick(now);
    if (event.type === 'message') this.receive(event.from, event.message, now);
    if (event.type === 'seeds') this.seeds = event.addresses;
    if (event.type === 'leave') this.leave();
    if (this.changed) this.effects.push({ type: 'changed' });
    return this.effects;
  }

  private tick(now: number): void {
    this.checkProbes(now);
    this.expireSuspicions(now);
    if (now - this.lastSeedAt >= SEED_PERIOD_MS) this.probeSeeds(now);
    if (now - this.lastProbeAt < this.times.probePeriodMs) return;
    this.lastProbeAt = now;
    const target = this.nextTarget();
    if (target !== undefined) this.probe(target, now);
  }

  private probeSeeds(now: number): void {
    this.lastSeedAt = now;
    const strangers = this.seeds.filter((seed) => this.isStranger(seed));
    // All of a large group at once would be a burst; a few lead to the rest by news.
    for (const seed of rankCandidates(`${this.self.address}/${now}`, strangers).slice(0, 3)) {
      this.probe(seed, now);
    }
  }

  private isStranger(address: string): boolean {
    if (address === this.self.address) return false;
    const known = this.members.get(address);
    return known === undefined || known.view.state === 'dead';
  }

  private nextTarget(): string | undefined {
    for (let tries = 0; tries < 2; tries++) {
      while (this.order.length > 0) {
        const target = this.order.pop();
        if (target !== undefined && this.isReachable(target)) return target;
      }
      this.round += 1;
      const reachable = [...this.members.keys()].filter((address) => this.isReachable(address));
      this.order = rankCandidates(`${this.self.address}#${this.round}`, reachable);
    }
    return undefined;
  }

  private probe(target: string, now: number, onBehalfOf?: Probe['onBehalfOf']): void {
    this.sequence += 1;
    const behalf = onBehalfOf === undefined ? {} : { onBehalfOf };
    this.probes.set(this.sequence, { target, sentAt: now, indirect: false, ...behalf });
    this.send(target, { type: 'ping', sequence: this.sequence, updates: this.takeNews(target) });
  }

  private checkProbes(now: number): void {
    for (const [sequence, probe] of this.probes) {
      const age = now - probe.sentAt;
      if (age >= this.times.directTimeoutMs + this.times.indirectTimeoutMs) {
        this.probes.delete(sequence);
        if (probe.onBehalfOf === undefined) this.suspect(probe.target, now);
      } else if (age >= this.times.directTimeoutMs && !probe.indirect) {
        probe.indirect = true;
        if (probe.onBehalfOf === undefined) this.probeThroughOthers(sequence, probe.target);
      }
    }
  }

  private probeThroughOthers(sequence: number, target: string): void {
    const helpers = this.live()
      .map((member) => member.address)
      .filter((address) => address !== target && address !== this.self.address);
    const chosen = rankCandidates(`${this.self.address}/${sequence}`, helpers);
    for (const helper of chosen.slice(0, INDIRECT_PROBES)) {
      const updates = this.takeNews(helper);
      this.send(helper, { type: 'ping_request', sequence, target, updates });
    }
  }

  private suspect(address: string, now: number): void {
    const entry = this.members.get(address);
    if (entry === undefined || entry.view.state === 'suspect' || entry.view.state === 'dead')
      return;
    this.setMember({ ...entry.view, state: 'suspect' }, now);
    // The suspect hears of it at once, so that it can refute.
    this.probe(address, now);
  }

  private expireSuspicions(now: number): void {
    for (const [address, entry] of this.members) {
      const age = now - entry.since;
      if (entry.view.state === 'suspect' && age >= this.times.suspicionMs) {
        this.setMember({ ...entry.view, state: 'dead' }, now);
        this.tellSome(address);
      }
      if (entry.view.state === 'dead' && age >= this.times.rememberDeadMs) {
        this.members.delete(address);
        this.news.delete(address);
      }
    }
  }

  /** Tells a few others at once, besides what rides on probes. */
  private tellSome(about: string): void {
    const others = this.live()
      .map((member) => member.address)
      .filter((address) => address !== this.self.address);
    for (const address of rankCandidates(`${this.self.address}!${about}`, others).slice(
      0,
      DIRECT_NEWS,
    )) {
      this.sequence += 1;
      const updates = this.takeNews(address);
      this.send(address, { type: 'ping', sequence: this.sequence, updates });
    }
  }

  private receive(from: string, message: ProbeMessage, now: number): void {
    for (const update of message.updates) this.learn(update, now);
    if (message.type === 'ping') this.answer(from, message.sequence, now);
    if (message.type === 'ping_request') {
      this.probe(message.target, now, { address: from, sequence: message.sequence });
    }
    if (message.type === 'ack') this.acknowledged(message.sequence);
  }

  private answer(from: string, sequence: number, now: number): void {
    const updates = this.takeNews(from);
    this.send(from, { type: 'ack', sequence, updates });
    // A member that thinks this daemon dead, or a newcomer, is worth a probe back.
    if (this.isStranger(from)) this.probe(from, now);
  }

  private acknowledged(sequence: number): void {
    const probe = this.probes.get(sequence);
    if (probe === undefined) return;
    this.probes.delete(sequence);
    const behalf = probe.onBehalfOf;
    if (behalf === undefined) return;
    const updates = this.takeNews(behalf.address);
    this.send(behalf.address, { type: 'ack', sequence: behalf.sequence, updates });
  }

  private learn(update: MemberView, now: number): void {
    if (update.address === this.self.address) return this.refute(update);
    const known = this.members.get(update.address)?.view;
    if (known === undefined && update.state === 'dead') return;
    if (known === undefined || supersedes(update, known)) this.setMember(update, now);
  }

  /** Another daemon says that this one is suspect or dead: a higher incarnation refutes it. */
  private refute(update: MemberView): void {
    const harmless = update.state === this.self.state || update.state === 'alive';
    if (harmless || update.incarnation < this.self.incarnation) return;
    this.self = { ...this.self, incarnation: update.incarnation + 1 };
    this.spread(this.self.address);
  }

  private leave(): void {
    this.self = { ...this.self, incarnation: this.self.incarnation + 1, state: 'leaving' };
    this.spread(this.self.address);
    this.changed = true;
    this.tellSome(this.self.address);
  }

  private setMember(view: MemberView, now: number): void {
    const before = this.members.get(view.address)?.view;
    this.members.set(view.address, { view, since: now });
    this.spread(view.address);
    // A suspicion alone changes no duty, and comes and goes when machines are busy.
    if (before === undefined || isLive(before) !== isLive(view)) this.changed = true;
  }

  private spread(address: string): void {
    const times = Math.ceil(SPREAD_FACTOR * Math.log2(this.members.size + 2));
    this.news.set(address, { address, remaining: times });
  }

  /** News for one message: this daemon, what the receiver is thought to be, and the freshest. */
  private takeNews(receiver: string): MemberView[] {
    const views = [this.self];
    const about = this.members.get(receiver)?.view;
    if (about !== undefined && about.state !== 'alive') views.push(about);
    const freshest = [...this.news.values()].sort((a, b) => b.remaining - a.remaining);
    for (const piece of freshest) {
      if (views.length >= UPDATES_PER_MESSAGE) break;
      const view = this.members.get(piece.address)?.view;
      if (view !== undefined && view.address !== receiver) views.push(view);
      piece.remaining -= 1;
      if (piece.remaining <= 0) this.news.delete(piece.address);
    }
    return views;
  }

  private send(to: string, message: ProbeMessage): void {
    this.effects.push({ type: 'send', to, message });
  }
}

/** Whether a member may be given duties. A suspect still counts until it is found dead. */
function isLive(view: MemberView): boolean {
  return view.state === 'alive' || view.state === 'suspect';
}

const STATE_RANK = { alive: 0, suspect: 1, leaving: 2, dead: 3 } as const;

/** Newer incarnations win; within one, the worse news wins. */
function supersedes(update: MemberView, known: MemberView): boolean {
  if (update.incarnation !== known.incarnation) return update.incarnation > known.incarnation;
  return STATE_RANK[update.state] > STATE_RANK[known.state];
}
