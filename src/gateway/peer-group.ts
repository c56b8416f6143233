/** The group of daemons: membership by probing, and messages between its members. */
import type { Logger } from '../common/logger.js';
import { LinkFaults } from '../common/link-faults.js';
import { Membership } from '../core/membership.js';
import type { MembershipEvent, MemberView } from '../core/membership-messages.js';
import { decodeMembership } from '../daemon/codec.js';
import { performMembershipEffects } from '../daemon/membership-transport.js';
import { PeerTransport, type PeerBody, type TransportCounts } from '../daemon/peer-transport.js';
import { steadyNow } from './steady-clock.js';

/** Options of {@link PeerGroup}. */
export interface PeerGroupOptions {
  readonly host: string;
  readonly port: number;
  readonly zone: string;
  /** Processor capacity of the machine, in cores of typical speed. */
  readonly capacity: number;
  readonly logger: Logger;
  /** Called with each message that is not about membership. */
  readonly onMessage: (from: string, body: PeerBody) => void;
  readonly onChange: () => void;
}

/** One daemon's view of the group. */
export class PeerGroup {
  readonly membership: Membership;
  private readonly transport: PeerTransport;
  private readonly seeds = new Set<string>();
  private listed: readonly string[] = [];

  constructor(private readonly options: PeerGroupOptions) {
    const { host, port, zone, capacity, logger } = options;
    this.transport = new PeerTransport({
      host,
      port,
      logger,
      faults: new LinkFaults(),
      onMessage: (from, body) => this.receive(from, body),
      onDisconnect: () => {},
    });
    this.membership = new Membership({
      address: `${host}:${port}`,
      zone,
      site: '',
      incarnation: Date.now(),
      state: 'alive',
      capacity,
    });
  }

  /** This daemon's peer address. */
  get address(): string {
    return this.membership.ownView.address;
  }

  /** Counts of the traffic between this daemon and the others. */
  get counts(): Readonly<TransportCounts> {
    return this.transport.counts;
  }

  async start(): Promise<void> {
    await this.transport.start();
  }

  /** Runs the membership timers that are due. Call it ten times per second. */
  tick(): void {
    this.apply({ type: 'tick' });
  }

  stop(): void {
    this.transport.stop();
  }

  /** Announces to the others that this daemon is leaving. It still replies to messages. */
  leave(): void {
    this.apply({ type: 'leave' });
  }

  /** Adds addresses to probe. */
  addSeeds(addresses: readonly string[]): void {
    for (const address of addresses) this.seeds.add(address);
    this.applySeeds();
  }

  /** Sets the addresses that the platform's store lists. They are probed too; those that it no longer lists are not. */
  setListed(addresses: readonly string[]): void {
    this.listed = addresses;
    this.applySeeds();
  }

  private applySeeds(): void {
    const addresses = [...new Set([...this.seeds, ...this.listed])];
    this.apply({ type: 'seeds', addresses });
  }

  /** Daemons that can be assigned work, including this one unless it is leaving. */
  live(): MemberView[] {
    return this.membership.live();
  }

  /** Whether an IP address is that of a daemon that is not known to be dead. */
  isMemberHost(host: string): boolean {
    return this.membership.reachable().some(({ address }) => address.startsWith(`${host}:`));
  }

  send(to: string, body: PeerBody): void {
    this.transport.send(to, body);
  }

  /** Sends one datagram, which may be lost. */
  sendDatagram(to: string, body: PeerBody): void {
    this.transport.sendDatagram(to, body);
  }

  /** Addresses of the other reachable daemons. Draining daemons are included, because they still have requests to finish. */
  reachableOthers(): string[] {
    const addresses = this.membership.reachable().map((member) => member.address);
    return addresses.filter((address) => address !== this.address);
  }

  /** Sends a message to every other reachable daemon. */
  broadcast(body: PeerBody): void {
    this.transport.sendToAll(this.reachableOthers(), body);
  }

  private receive(from: string, body: PeerBody): void {
    const message = decodeMembership(body);
    if (message === undefined) this.options.onMessage(from, body);
    else this.apply({ type: 'message', from, message });
  }

  private apply(event: MembershipEvent): void {
    const effects = this.membership.handle(event, steadyNow());
    if (performMembershipEffects(effects, this.transport)) this.options.onChange();
  }
}
