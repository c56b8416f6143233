/**
 * The configuration and the list of machines at one daemon: which daemons it
 * hears from, whether it reads the platform itself, and whether what it holds
 * is current enough to serve.
 */
import { create } from '@bufbuild/protobuf';
import type { Clock } from '../common/clock.js';
import type { Logger } from '../common/logger.js';
import { readersOf, upstreamsOf, type DutyMember } from '../core/duties.js';
import type { Membership } from '../core/membership.js';
import type { PlatformClient } from '../platform/platform-client.js';
import {
  Feed as FeedName,
  RelayHeartbeatSchema,
  RevisionQuerySchema,
  type RelayHeartbeat,
  type RevisionQuery,
} from '../proto/gen/internal_pb.js';
import { FeedRelay } from './feed-relay.js';
import type { PeerBody } from './peer-transport.js';
import { PlatformReader } from './platform-reader.js';

/** Milliseconds between two heartbeats to subscribers. */
export const RELAY_HEARTBEAT_MS = 2_000;
/** Daemons that each daemon hears from. */
const UPSTREAMS = 2;
/** Milliseconds without a fresh word of the platform before the other daemons are asked. */
const ASK_PEERS_AFTER_MS = 3_000;
/** Milliseconds between two rounds of asking. */
const ASK_PERIOD_MS = 1_000;

/** What the service needs around it. */
export interface ConfigurationServiceOptions {
  readonly self: DutyMember;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly membership: Membership;
  readonly platform: PlatformClient;
  readonly readersPerZone: number;
  readonly send: (to: string, body: PeerBody) => void;
  readonly onConfigurationChange: (key: string) => void;
  readonly onMachineChange: (address: string) => void;
}

/** Both feeds of one daemon. */
export class ConfigurationService {
  readonly configuration: FeedRelay;
  readonly machines: FeedRelay;
  private readonly reader: PlatformReader;
  private readonly startedAt: number;
  private readonly answers = new Map<string, number>();
  private lastAskedAt = 0;
  private nonce = 0;
  private current = false;

  constructor(private readonly options: ConfigurationServiceOptions) {
    const { clock, send } = options;
    this.startedAt = clock.now();
    const token = this.startedAt;
    this.configuration = new FeedRelay({
      feed: FeedName.CONFIGURATION,
      clock,
      token,
      send,
      onChange: options.onConfigurationChange,
    });
    this.machines = new FeedRelay({
      feed: FeedName.MACHINES,
      clock,
      token,
      send,
      onChange: options.onMachineChange,
    });
    const { platform, logger } = options;
    this.reader = new PlatformReader(platform, this.configuration, this.machines, logger);
  }

  /** Works out anew whom to hear from, and whether to read the platform. */
  membersChanged(): void {
    const { membership, readersPerZone, self } = this.options;
    const live = membership.live();
    const readers = readersOf(self.zone, live, readersPerZone);
    this.reader.setRunning(readers.includes(self.address));
    const upstreams = upstreamsOf(self, live, readersPerZone, UPSTREAMS);
    this.configuration.setUpstreams(upstreams);
    this.machines.setUpstreams(upstreams);
    for (const relay of [this.configuration, this.machines]) {
      for (const subscriber of relay.subscriberList()) {
        // One that is thought dead may only be paused: it is kept until it is forgotten.
        if (!membership.isKnown(subscriber)) relay.dropSubscriber(subscriber);
      }
    }
  }

  /** Subscribes again after a connection was lost. */
  peerDisconnected(address: string): void {
    if (!this.options.membership.isReachable(address)) return;
    this.configuration.resubscribe(address);
    this.machines.resubscribe(address);
  }

  /** Asks upstreams that have gone silent again. */
  renewSilent(): void {
    this.configuration.renewSilent();
    this.machines.renewSilent();
  }

  /** Sends this daemon's positions to those who hear from it. */
  sendHeartbeats(): void {
    const relays = [this.configuration, this.machines];
    const subscribers = new Set(relays.flatMap((relay) => relay.subscriberList()));
    for (const to of subscribers) {
      const positions = relays.flatMap((relay) => relay.positionFor(to) ?? []);
      const value = create(RelayHeartbeatSchema, { positions });
      this.options.send(to, { case: 'relayHeartbeat', value });
    }
  }

  /**
   * Whether the configuration is current enough to serve. A daemon that has
   * just started must not serve an older configuration than it may have served
   * before: it waits for a word of the platform since its start, or, while the
   * platform is away, for the highest revision of all daemons that live.
   */
  isCurrent(): boolean {
    if (this.current) return true;
    const confirmed = this.configuration.isConfirmed;
    if (confirmed || this.hasReachedAllPeers()) {
      this.current = true;
      const { revision } = this.configuration.state;
      this.options.logger.info('configuration_current', { revision, confirmed });
    }
    return this.current;
  }

  /** Asks the other daemons for their revisions while the platform is away. */
  askPeers(): void {
    const now = this.options.clock.now();
    if (this.isCurrent() || now - this.startedAt < ASK_PEERS_AFTER_MS) return;
    if (now - this.lastAskedAt < ASK_PERIOD_MS) return;
    this.lastAskedAt = now;
    this.nonce += 1;
    this.answers.clear();
    const value = create(RevisionQuerySchema, { feed: FeedName.CONFIGURATION, nonce: this.nonce });
    for (const member of this.options.membership.live()) {
      if (member.address === this.options.self.address) continue;
      this.options.send(member.address, { case: 'revisionQuery', value });
    }
  }

  /** Takes in a message of the relay. True if it was one. */
  handle(from: string, body: PeerBody): boolean {
    switch (body.case) {
      case 'subscribe':
        this.relay(body.value.feed).handleSubscribe(from, body.value.revision, body.value.token);
        return true;
      case 'delta':
        this.relay(body.value.feed).handleDelta(from, body.value);
        return true;
      case 'snapshot':
        this.relay(body.value.feed).handleSnapshot(from, body.value);
        return true;
      case 'relayHeartbeat':
        this.handleHeartbeat(from, body.value);
        return true;
      case 'revisionQuery':
        this.handleQuery(from, body.value);
        return true;
      default:
        return false;
    }
  }

  /** Ends the reading of the platform. */
  stop(): void {
    this.reader.setRunning(false);
  }

  private relay(feed: FeedName): FeedRelay {
    return feed === FeedName.MACHINES ? this.machines : this.configuration;
  }

  private handleHeartbeat(from: string, heartbeat: RelayHeartbeat): void {
    for (const position of heartbeat.positions) {
      this.relay(position.feed).handlePosition(from, position);
    }
  }

  private handleQuery(from: string, query: RevisionQuery): void {
    if (query.answer) {
      if (query.nonce === this.nonce) this.answers.set(from, query.revision);
      return;
    }
    const { revision } = this.configuration.state;
    const { feed, nonce } = query;
    const value = create(RevisionQuerySchema, { feed, nonce, answer: true, revision });
    this.options.send(from, { case: 'revisionQuery', value });
  }

  /** Every live daemon has answered, and none is further. */
  private hasReachedAllPeers(): boolean {
    const others = this.options.membership
      .live()
      .filter((member) => member.address !== this.options.self.address);
    if (others.length === 0) return false;
    if (others.some((member) => !this.answers.has(member.address))) return false;
    const highest = Math.max(...this.answers.values());
    return highest > 0 && this.configuration.state.revision >= highest;
  }
}
