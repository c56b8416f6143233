/**
 * Relays one feed at one daemon: applies updates from upstream daemons or from this
 * daemon's own platform reader, and forwards them to subscribers. After a gap the
 * daemon subscribes again; its revision never decreases.
 */
import { create } from '@bufbuild/protobuf';
import type { Clock } from '../common/clock.js';
import { DeltaLog, type LoggedDelta } from '../core/delta-log.js';
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

/** Maximum number of objects in one part of a snapshot. */
const SNAPSHOT_PART_ENTRIES = 500;
/**
 * Milliseconds without a message after which an upstream is subscribed to again; slightly more than
 * its heartbeat period.
 */
const UPSTREAM_TIMEOUT_MS = 2_500;
/** Largest value of the message field, a signed 32-bit integer. */
const MAX_AGE_MS = 2 ** 31 - 1;

interface Subscription {
  /** Start of the subscriber's process, in Unix milliseconds. */
  readonly token: number;
  /** Time of the subscription by this daemon's clock, in Unix milliseconds. */
  readonly subscribedAt: number;
}

interface PendingSnapshot {
  readonly revision: number;
  readonly entries: FeedEntry[];
}

/** Dependencies and settings of {@link FeedRelay}. */
export interface FeedRelayOptions {
  readonly feed: FeedName;
  readonly clock: Clock;
  /**
   * Start of this process in Unix milliseconds; distinguishes it from an earlier process at the
   * same address.
   */
  readonly token: number;
  readonly send: (to: string, body: PeerBody) => void;
  /** Called with the key of every object that has changed. */
  readonly onChange: (key: string) => void;
}

/** The state of one feed and its subscribers. */
export class FeedRelay {
  readonly state = new Feed();
  /**
   * Time at which the platform last confirmed the state, directly or through a relay, in Unix
   * milliseconds; 0 for never.
   */
  confirmedAt = 0;
  /**
   * Whether the platform has confirmed the state since this process started, either
   * directly or through a relay that was confirmed after this process subscribed to
   * it. This needs no comparison of clocks: a heartbeat that was sent before the
   * start of this process carries a different token.
   */
  isConfirmed = false;
  private readonly subscribers = new Map<string, Subscription>();
  /**
   * Time at which the platform last confirmed the state to this daemon directly, in Unix
   * milliseconds.
   */
  private directlyConfirmedAt = 0;
  private readonly log = new DeltaLog();
  private readonly pendingSnapshots = new Map<string, PendingSnapshot>();
  private upstreams: readonly string[] = [];
  /**
   * Time of the last message from each upstream, or of the last subscription to it, in Unix
   * milliseconds.
   */
  private readonly lastContactAt = new Map<string, number>();

  constructor(private readonly options: FeedRelayOptions) {}

  /** Sets the upstreams and subscribes to the added ones. */
  setUpstreams(upstreams: readonly string[]): void {
    const added = upstreams.filter((address) => !this.upstreams.includes(address));
    this.upstreams = upstreams;
    for (const address of added) this.subscribe(address);
  }

  /** Subscribes to an upstream again, after a gap or a lost connection. */
  resubscribe(address: string): void {
    if (this.upstreams.includes(address)) this.subscribe(address);
  }

  /**
   * Subscribes again to upstreams that have sent nothing recently: while this daemon
   * was paused, an upstream may have considered it dead and dropped its subscription.
   */
  resubscribeSilentUpstreams(): void {
    const now = this.options.clock.now();
    for (const address of this.upstreams) {
      const silentMs = now - (this.lastContactAt.get(address) ?? 0);
      if (silentMs >= UPSTREAM_TIMEOUT_MS) this.subscribe(address);
    }
  }

  /** Removes a subscriber. */
  dropSubscriber(address: string): void {
    this.subscribers.delete(address);
  }

  /** Addresses of the daemons that subscribe to this relay. */
  subscriberAddresses(): string[] {
    return [...this.subscribers.keys()];
  }

  /** This relay's position as sent to a subscriber; undefined if the daemon is not subscribed. */
  positionFor(subscriber: string): FeedPosition | undefined {
    const subscription = this.subscribers.get(subscriber);
    if (subscription === undefined) return undefined;
    const age = this.confirmedAt === 0 ? -1 : this.options.clock.now() - this.confirmedAt;
    return create(FeedPositionSchema, {
      feed: this.options.feed,
      revision: this.state.revision,
      ageMs: Math.min(age, MAX_AGE_MS),
      token: subscription.token,
      confirmed: this.directlyConfirmedAt > subscription.subscribedAt,
    });
  }

  /** Applies a delta that this daemon read from the platform. */
  applyLocalDelta(base: number, revision: number, entries: readonly FeedEntry[]): void {
    this.applyDelta(base, revision, entries);
  }

  /** Applies a snapshot that this daemon read from the platform. */
  applyLocalSnapshot(revision: number, entries: readonly FeedEntry[]): void {
    this.applySnapshot(revision, entries);
  }

  /** Records that the platform has just confirmed directly that the state is current. */
  confirm(): void {
    this.directlyConfirmedAt = this.options.clock.now();
    this.confirmedAt = this.directlyConfirmedAt;
    this.isConfirmed = true;
  }

  /** Adds a subscriber and sends it all changes since its revision. */
  handleSubscribe(from: string, revision: number, token: number): void {
    const existing = this.subscribers.get(from);
    if (existing?.token !== token) {
      this.subscribers.set(from, { token, subscribedAt: this.options.clock.now() });
    }
    if (revision >= this.state.revision) return;
    const deltas = this.log.since(revision);
    if (deltas === undefined) this.sendSnapshot(from);
    else for (const delta of deltas) this.options.send(from, this.deltaBody(delta));
  }

  /**
   * Handles the position of an upstream: subscribes again after a gap and records the age of the
   * state.
   */
  handlePosition(from: string, position: FeedPosition): void {
    this.recordContact(from);
    if (position.revision > this.state.revision) {
      this.resubscribe(from);
      return;
    }
    if (position.token !== this.options.token || position.ageMs < 0) return;
    if (position.confirmed) this.isConfirmed = true;
    this.confirmedAt = Math.max(this.confirmedAt, this.options.clock.now() - position.ageMs);
  }

  /** Handles a delta from an upstream. */
  handleDelta(from: string, delta: Delta): void {
    this.recordContact(from);
    const entries = delta.entries.map(decodeEntry);
    const outcome = this.applyDelta(delta.base, delta.revision, entries);
    if (outcome === 'gap') this.resubscribe(from);
  }

  /** Handles one part of a snapshot from an upstream. */
  handleSnapshot(from: string, snapshot: Snapshot): void {
    this.recordContact(from);
    if (snapshot.first)
      this.pendingSnapshots.set(from, { revision: snapshot.revision, entries: [] });
    const pending = this.pendingSnapshots.get(from);
    if (pending === undefined || pending.revision !== snapshot.revision) return;
    for (const entry of snapshot.entries) pending.entries.push(decodeEntry(entry));
    if (!snapshot.last) return;
    this.pendingSnapshots.delete(from);
    this.applySnapshot(pending.revision, pending.entries);
  }

  private recordContact(from: string): void {
    this.lastContactAt.set(from, this.options.clock.now());
  }

  private subscribe(address: string): void {
    this.recordContact(address);
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
    this.log.add(delta);
    const body = this.deltaBody(delta);
    for (const subscriber of this.subscribers.keys()) this.options.send(subscriber, body);
    return outcome;
  }

  private applySnapshot(revision: number, entries: readonly FeedEntry[]): void {
    const before = this.state.revision;
    const outcome = this.state.applySnapshot(revision, entries, this.options.onChange);
    if (outcome !== 'applied' || revision === before) return;
    this.log.clear();
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
    for (let start = 0; start === 0 || start < all.length; start += SNAPSHOT_PART_ENTRIES) {
      const value = create(SnapshotSchema, {
        feed: this.options.feed,
        revision,
        entries: all.slice(start, start + SNAPSHOT_PART_ENTRIES).map(encodeEntry),
        first: start === 0,
        last: start + SNAPSHOT_PART_ENTRIES >= all.length,
      });
      this.options.send(to, { case: 'snapshot', value });
    }
  }
}
