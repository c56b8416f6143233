/**
 * Maintains the configuration and the list of machines at one daemon: chooses the
 * upstream daemons, decides whether this daemon reads the platform itself, and decides
 * whether the configuration is current enough to serve requests.
 */
import { create } from '@bufbuild/protobuf';
import type { Clock } from '../common/clock.js';
import type { Logger } from '../common/logger.js';
import { readersOf, upstreamsOf, type RoleCandidate } from '../core/roles.js';
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
/** Number of upstream daemons that each daemon subscribes to. */
const UPSTREAM_COUNT = 2;
/**
 * Milliseconds after the start without a confirmation by the platform before the other daemons are
 * queried.
 */
const QUERY_PEERS_AFTER_MS = 3_000;
/** Milliseconds between two queries to the other daemons. */
const QUERY_PERIOD_MS = 1_000;

/** Dependencies and settings of {@link ConfigurationService}. */
export interface ConfigurationServiceOptions {
  readonly self: RoleCandidate;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly membership: Membership;
  readonly platform: PlatformClient;
  readonly readersPerZone: number;
  readonly send: (to: string, body: PeerBody) => void;
  readonly onConfigurationChange: (key: string) => void;
  readonly onMachineChange: (address: string) => void;
}

/** Manages both feeds of one daemon. */
export class ConfigurationService {
  readonly configuration: FeedRelay;
  readonly machines: FeedRelay;
  private readonly reader: PlatformReader;
  private readonly startedAt: number;
  private readonly peerRevisions = new Map<string, number>();
  private lastQueryAt = 0;
  private nonce = 0;
  private wasCurrent = false;

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

  /** Recomputes the upstreams and whether this daemon reads the platform. */
  membersChanged(): void {
    const { membership, readersPerZone, self } = this.options;
    const live = membership.live();
    const readers = readersOf(self.zone, live, readersPerZone);
    this.reader.setRunning(readers.includes(self.address));
    const upstreams = upstreamsOf(self, live, readersPerZone, UPSTREAM_COUNT);
    this.configuration.setUpstreams(upstreams);
    this.machines.setUpstreams(upstreams);
    for (const relay of [this.configuration, this.machines]) {
      for (const subscriber of relay.subscriberAddresses()) {
        // A subscriber considered dead may only be paused, so it is kept while it is a known
        // member.
        if (!membership.isKnown(subscriber)) relay.dropSubscriber(subscriber);
      }
    }
  }

  /** Subscribes again to a peer whose connection was lost. */
  peerDisconnected(address: string): void {
    if (!this.options.membership.isReachable(address)) return;
    this.configuration.resubscribe(address);
    this.machines.resubscribe(address);
  }

  /** Subscribes again to upstreams that have sent nothing recently. */
  resubscribeSilentUpstreams(): void {
    this.configuration.resubscribeSilentUpstreams();
    this.machines.resubscribeSilentUpstreams();
  }

  /** Sends this daemon's positions in the feeds to its subscribers. */
  sendHeartbeats(): void {
    const relays = [this.configuration, this.machines];
    const subscribers = new Set(relays.flatMap((relay) => relay.subscriberAddresses()));
    for (const to of subscribers) {
      const positions = relays.flatMap((relay) => relay.positionFor(to) ?? []);
      const value = create(RelayHeartbeatSchema, { positions });
      this.options.send(to, { case: 'relayHeartbeat', value });
    }
  }

  /**
   * Whether the configuration is current enough to serve requests. A restarted daemon
   * must not serve a configuration older than the one it may have served before. It
   * therefore waits until the platform has confirmed the configuration since the start
   * or, while the platform is unavailable, until it has reached the highest revision of
   * all live daemons.
   */
  isCurrent(): boolean {
    if (this.wasCurrent) return true;
    const confirmed = this.configuration.isConfirmed;
    if (confirmed || this.hasReachedAllPeers()) {
      this.wasCurrent = true;
      const { revision } = this.configuration.state;
      this.options.logger.info('configuration_current', { revision, confirmed });
    }
    return this.wasCurrent;
  }

  /** Queries the revisions of the other daemons while the platform is unavailable. */
  queryPeerRevisions(): void {
    const now = this.options.clock.now();
    if (this.isCurrent() || now - this.startedAt < QUERY_PEERS_AFTER_MS) return;
    if (now - this.lastQueryAt < QUERY_PERIOD_MS) return;
    this.lastQueryAt = now;
    this.nonce += 1;
    this.peerRevisions.clear();
    const value = create(RevisionQuerySchema, { feed: FeedName.CONFIGURATION, nonce: this.nonce });
    for (const member of this.options.membership.live()) {
      if (member.address === this.options.self.address) continue;
      this.options.send(member.address, { case: 'revisionQuery', value });
    }
  }

  /** Handles a message of the relay protocol. Returns false for any other message. */
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

  /** Stops reading the platform. */
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
      if (query.nonce === this.nonce) this.peerRevisions.set(from, query.revision);
      return;
    }
    const { revision } = this.configuration.state;
    const { feed, nonce } = query;
    const value = create(RevisionQuerySchema, { feed, nonce, answer: true, revision });
    this.options.send(from, { case: 'revisionQuery', value });
  }

  /** Whether all live daemons have replied and none has a higher revision. */
  private hasReachedAllPeers(): boolean {
    const others = this.options.membership
      .live()
      .filter((member) => member.address !== this.options.self.address);
    if (others.length === 0) return false;
    if (others.some((member) => !this.peerRevisions.has(member.address))) return false;
    const highest = Math.max(...this.peerRevisions.values());
    return highest > 0 && this.configuration.state.revision >= highest;
  }
}
