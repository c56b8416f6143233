/**
 * One feed at one daemon: takes updates from readers or from this daemon's own
 * reading of the platform, and passes them on to subscribers. A gap is closed
 * by subscribing anew; a daemon never steps to a lower revision.
 */
import { create } from '@bufbuild/protobuf';
import type { Clock } from '../common/clock.js';
import { Feed, type FeedEntry } from '../core/feed.js';
import {
  DeltaSchema,
  FeedPositionSchema,
  SnapshotSchema,
  SubscribeSchema,
  type Delta,
  type Feed as FeedName,
  type FeedPosition,
  type Snapshot,
} from '../proto/gen/internal_pb.js';
import { decodeEntry, encodeEntry } from './codec.js';
import type { PeerBody } from './peer-transport.js';

/** Changes kept for subscribers that were away for a moment. */
const LOG_LIMIT = 256;
/** Objects in one part of a snapshot. */
const SNAPSHOT_PART = 500;
/** Milliseconds after which a silent upstream is asked again; a little over its heartbeat's period. */
const UPSTREAM_SILENCE_MS = 2_500;
const LONGEST_AGE_MS = 2 ** 31 - 1;

interface LoggedDelta {
  readonly base: number;
  readonly revision: number;
  readonly entries: readonly FeedEntry[];
}

interface Subscription {
  /** Start of the subscriber's process. */
  readonly token: number;
  /** By this daemon's clock. */
  readonly takenAt: number;
}

interface SnapshotParts {
  readonly revision: number;
  readonly entries: FeedEntry[];
}

/** What a relay needs around it. */
export interface FeedRelayOptions {
  readonly feed: FeedName;
  readonly clock: Clock;
  /** Tells this process from an earlier one at the same address: its start in Unix milliseconds. */
  readonly token: number;
  readonly send: (to: string, body: PeerBody) => void;
  /** Called for every object that has changed. */
  readonly onChange: (key: string) => void;
}

/** The state of one feed and its subscribers. */
export class FeedRelay {
  readonly state = new Feed();
  /** Unix milliseconds of the platform's last word that the state rests on; 0 for never. */
  confirmedAt = 0;
  /**
   * Whether the platform has confirmed the state since this process started, by
   * its own word or by that of a relay about this process's subscription. It
   * rests on no comparison of clocks: a heartbeat that was on its way since
   * before the start carries another token.
   */
  isConfirmed = false;
  private readonly subscribers = new Map<string, Subscription>();
  /** Unix milliseconds of the platform's last word to this daemon itself. */
  private ownWordAt = 0;
  private readonly log: LoggedDelta[] = [];
  private readonly parts = new Map<string, SnapshotParts>();
  private upstreams: readonly string[] = [];
  /** When each upstream was last heard from, or asked. */
  private readonly heardAt = new Map<string, number>();

  constructor(private readonly options: FeedRelayOptions) {}

  /** Chooses whom to hear from; subscribes to those that are new. */
  setUpstreams(upstreams: readonly string[]): void {
    const fresh = upstreams.filter((address) => !this.upstreams.includes(address));
    this.upstreams = upstreams;
    for (const address of fresh) this.subscribe(address);
  }

  /** Subscribes again, after a gap or a lost connection. */
  resubscribe(address: string): void {
    if (this.upstreams.includes(address)) this.subscribe(address);
  }

  /**
   * Subscribes again to upstreams that have gone silent: one may have taken this
   * daemon for dead while it was paused, and forgotten its subscription.
   */
  renewSilent(): void {
    const now = this.options.clock.now();
    for (const address of this.upstreams) {
      const silence = now - (this.heardAt.get(address) ?? 0);
      if (silence >= UPSTREAM_SILENCE_MS) this.subscribe(address);
    }
  }

  /** Forgets a subscriber. */
  dropSubscriber(address: string): void {
    this.subscribers.delete(address);
  }

  /** Everyone who hears from this daemon. */
  subscriberList(): string[] {
    return [...this.subscribers.keys()];
  }

  /** This relay's position as a subscriber hears it; undefined for any other daemon. */
  positionFor(subscriber: string): FeedPosition | undefined {
    const subscription = this.subscribers.get(subscriber);
    if (subscription === undefined) return undefined;
    const age = this.confirmedAt === 0 ? -1 : this.options.clock.now() - this.confirmedAt;
    return create(FeedPositionSchema, {
      feed: this.options.feed,
      revision: this.state.revision,
      ageMs: Math.min(age, LONGEST_AGE_MS),
      token: subscription.token,
      confirmed: this.ownWordAt > subscription.takenAt,
    });
  }

  /** Takes in a step that this daemon read from the platform itself. */
  applyLocalDelta(base: number, revision: number, entries: readonly FeedEntry[]): void {
    this.applyDelta(base, revision, entries);
  }

  /** Takes in the whole state as this daemon read it from the platform itself. */
  applyLocalSnapshot(revision: number, entries: readonly FeedEntry[]): void {
    this.applySnapshot(revision, entries);
  }

  /** The platform itself has just confirmed that the state is current. */
  confirm(): void {
    this.ownWordAt = this.options.clock.now();
    this.confirmedAt = this.ownWordAt;
    this.isConfirmed = true;
  }

  /** A peer wants to hear from here on. */
  handleSubscribe(from: string, revision: number, token: number): void {
    const known = this.subscribers.get(from);
    if (known?.token !== token) {
      this.subscribers.set(from, { token, takenAt: this.options.clock.now() });
    }
    if (revision === this.state.revision) return;
    const oldest = this.log[0]?.base;
    const isLogged = oldest !== undefined && revision >= oldest && revision < this.state.revision;
    const start = this.log.findIndex((delta) => delta.base === revision);
    if (isLogged && start >= 0) {
      for (const delta of this.log.slice(start)) this.options.send(from, this.deltaBody(delta));
    } else if (revision < this.state.revision) {
      this.sendSnapshot(from);
    }
  }

  /** A peer reports its position: closes gaps, and learns how fresh the state is. */
  handlePosition(from: string, position: FeedPosition): void {
    this.heard(from);
    if (position.revision > this.state.revision) {
      this.resubscribe(from);
      return;
    }
    if (position.token !== this.options.token || position.ageMs < 0) return;
    if (position.confirmed) this.isConfirmed = true;
    this.confirmedAt = Math.max(this.confirmedAt, this.options.clock.now() - position.ageMs);
  }

  /** A step from a peer. */
  handleDelta(from: string, delta: Delta): void {
    this.heard(from);
    const entries = delta.entries.map(decodeEntry);
    const outcome = this.applyDelta(delta.base, delta.revision, entries);
    if (outcome === 'gap') this.resubscribe(from);
  }

  /** A part of a snapshot from a peer. */
  handleSnapshot(from: string, snapshot: Snapshot): void {
    this.heard(from);
    if (snapshot.first) this.parts.set(from, { revision: snapshot.revision, entries: [] });
    const parts = this.parts.get(from);
    if (parts === undefined || parts.revision !== snapshot.revision) return;
    for (const entry of snapshot.entries) parts.entries.push(decodeEntry(entry));
    if (!snapshot.last) return;
    this.parts.delete(from);
    this.applySnapshot(parts.revision, parts.entries);
  }

  private heard(from: string): void {
    this.heardAt.set(from, this.options.clock.now());
  }

  private subscribe(address: string): void {
    this.heard(address);
    const { feed, token } = this.options;
    const value = create(SubscribeSchema, { feed, revision: this.state.revision, token });
    this.options.send(address, { case: 'subscribe', value });
  }

  private applyDelta(
    base: number,
    revision: number,
    entries: readonly FeedEntry[],
  ): ReturnType<Feed['applyDelta']> {
    const outcome = this.state.applyDelta(base, revision, entries, this.options.onChange);
    if (outcome !== 'applied') return outcome;
    const delta = { base, revision, entries };
    this.log.push(delta);
    if (this.log.length > LOG_LIMIT) this.log.shift();
    const body = this.deltaBody(delta);
    for (const subscriber of this.subscribers.keys()) this.options.send(subscriber, body);
    return outcome;
  }

  private applySnapshot(revision: number, entries: readonly FeedEntry[]): void {
    const before = this.state.revision;
    const outcome = this.state.applySnapshot(revision, entries, this.options.onChange);
    if (outcome !== 'applied' || revision === before) return;
    this.log.length = 0;
    for (const subscriber of this.subscribers.keys()) this.sendSnapshot(subscriber);
  }

  private deltaBody(delta: LoggedDelta): PeerBody {
    const { base, revision } = delta;
    const entries = delta.entries.map(encodeEntry);
    const value = create(DeltaSchema, { feed: this.options.feed, base, revision, entries });
    return { case: 'delta', value };
  }

  private sendSnapshot(to: string): void {
    const all = this.state.all();
    const { revision } = this.state;
    for (let start = 0; start === 0 || start < all.length; start += SNAPSHOT_PART) {
      const value = create(SnapshotSchema, {
        feed: this.options.feed,
        revision,
        entries: all.slice(start, start + SNAPSHOT_PART).map(encodeEntry),
        first: start === 0,
        last: start + SNAPSHOT_PART >= all.length,
      });
      this.options.send(to, { case: 'snapshot', value });
    }
  }
}
