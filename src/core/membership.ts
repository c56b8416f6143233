/**
 * Membership by probing, after the SWIM protocol: a direct probe, then probes
 * through others, then suspicion, and death only after a suspicion that was not
 * refuted. News ride on the probes; a member that starts, or meets many others at
 * once, exchanges all that it knows with one of them after another. Deterministic:
 * the order of probes comes from rendezvous hashing, so it needs no randomness.
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
import { MembershipNews } from './membership-news.js';

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

/** The view of the group at one daemon. */
export class Membership {
  private readonly members = new Map<string, MemberEntry>();
  private readonly probes = new Map<number, Probe>();
  private readonly news = new MembershipNews();
  private readonly exchanges: ExchangeSchedule;
  private exchangeCount = 0;
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
  ) {
    this.exchanges = new ExchangeSchedule(self.address);
  }

  /** This daemon as it presents itself. */
  get own(): MemberView {
    return this.self;
  }

  /** Members that may be given duties, this daemon among them: not dead and not leaving. */
  live(): MemberView[] {
    const others = [...this.members.values()].map((entry) => entry.view);
    return [this.self, ...others].filter(isLive);
  }

  /** Members that still answer, also while they drain; this daemon among them. */
  reachable(): MemberView[] {
    return this.all().filter(({ address }) => this.isReachable(address));
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
    const isNew = (address: string): boolean => !known.has(address) && this.isStranger(address);
    if (addresses.some(isNew)) this.exchanges.noteLearned(now);
  }

  /** Asks one other for all that it knows: a stranger first, for those are the ones to meet. */
  private exchangeState(now: number): void {
    if (!this.exchanges.isDue(now)) return;
    const strangers = this.seeds.filter((seed) => this.isStranger(seed));
    const others = [...this.members.keys()].filter((address) => this.isReachable(address));
    // A stranger may be gone for good: every other exchange goes to a member that is known.
    const prefersStranger = this.exchangeCount % 2 === 0 && strangers.length > 0;
    const partners = prefersStranger || others.length === 0 ? strangers : others;
    this.exchangeCount += 1;
    const partner = firstCandidate(`${this.self.address}~${this.exchangeCount}`, partners);
    if (partner === undefined) return;
    this.exchanges.begin(now);
    this.sendState(partner, 'state_request', this.all());
  }

  private receiveState(from: string, message: StateMessage, now: number): void {
    if (message.type === 'state_request') this.answerState(from, message.members);
    let metMembers = false;
    for (const view of message.members) {
      const wasLive = this.isLive(view.address);
      // Who tells of a member has met it, or will meet the rest itself: no need to pass it on.
      this.learn(view, now, 'told');
      metMembers ||= !wasLive && this.isLive(view.address);
    }
    if (metMembers) this.exchanges.noteLearned(now);
  }

  /** Tells a member what it lacks. */
  private answerState(to: string, known: readonly MemberView[]): void {
    const views = new Map(known.map((view) => [view.address, view]));
    const lacked = this.all().filter((view) => {
      const other = views.get(view.address);
      return other === undefined ? view.state !== 'dead' : supersedes(view, other);
    });
    this.sendState(to, 'state_answer', lacked);
  }

  private sendState(to: string, type: StateMessage['type'], members: readonly MemberView[]): void {
    this.effects.push({ type: 'send_state', to, message: { type, members } });
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
    this.spread(address);
    // The suspect hears of it at once, so that it can refute.
    this.probe(address, now);
  }

  private expireSuspicions(now: number): void {
    for (const [address, entry] of this.members) {
      const age = now - entry.since;
      if (entry.view.state === 'suspect' && age >= this.times.suspicionMs) {
        this.setMember({ ...entry.view, state: 'dead' }, now);
        this.spread(address);
        this.tellSome(address);
      }
      if (entry.view.state === 'dead' && age >= this.times.rememberDeadMs) {
        this.members.delete(address);
        this.news.drop(address);
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

  private receive(from: string, message: ProbeMessage | StateMessage, now: number): void {
    if ('members' in message) this.receiveState(from, message, now);
    else this.receiveProbe(from, message, now);
  }

  private receiveProbe(from: string, message: ProbeMessage, now: number): void {
    for (const update of message.updates) this.learn(update, now, 'news');
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

  /** Takes a view of a member that is newer than the one that is held. */
  private learn(update: MemberView, now: number, origin: 'news' | 'told'): void {
    if (update.address === this.self.address) return this.refute(update);
    const known = this.members.get(update.address)?.view;
    if (known === undefined && update.state === 'dead') return;
    if (known !== undefined && !supersedes(update, known)) return;
    this.setMember(update, now);
    if (origin === 'news') this.spread(update.address);
    else this.news.drop(update.address);
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
    // A suspicion alone changes no duty, and comes and goes when machines are busy.
    if (before === undefined || isLive(before) !== isLive(view)) this.changed = true;
  }

  private spread(address: string): void {
    this.news.add(address, this.members.size);
  }

  /** News for one message: this daemon, what the receiver is thought to be, and the freshest. */
  private takeNews(receiver: string): MemberView[] {
    const first = [this.self];
    const about = this.members.get(receiver)?.view;
    if (about !== undefined && about.state !== 'alive') first.push(about);
    return this.news.take(first, receiver, (address) => this.members.get(address)?.view);
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
