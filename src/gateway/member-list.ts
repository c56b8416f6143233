/** The daemons that the platform's store lists: seeds for membership, and its full size. */
import { faultText, type Logger } from '../common/logger.js';
import { startTicker, type Ticker } from '../common/process.js';
import type { DutyMember } from '../core/duties.js';
import type { GatewaySettings } from './gateway-settings.js';
import type { PeerGroup } from './peer-group.js';
import type { RecordStore } from './ports.js';
import { steadyNow } from './steady-clock.js';

/** Between two readings of the list while nothing is known to be wrong. */
const READ_PERIOD_MS = 12_000;
/** Until the first reading has succeeded. */
const RETRY_PERIOD_MS = 500;

/** Keeps this daemon in the list and reads the others. */
export class MemberList {
  /** Daemons in the list. */
  listed: readonly DutyMember[] = [];
  private ticker: Ticker | undefined;
  private isListed = false;
  private busy = false;
  private lastRead = -Infinity;

  constructor(
    private readonly settings: GatewaySettings,
    private readonly store: RecordStore,
    private readonly peers: PeerGroup,
    private readonly logger: Logger,
  ) {}

  start(): void {
    const { seeds, peerPort } = this.settings;
    this.peers.addSeeds(seeds.map((host) => `${host}:${peerPort}`));
    const onFault = (fault: unknown): void => {
      this.logger.error('member_list_fault', { reason: faultText(fault) });
    };
    const step = (): void => {
      this.refresh().catch(onFault);
    };
    step();
    this.ticker = startTicker(RETRY_PERIOD_MS, step, onFault);
  }

  /** Takes this daemon out of the list. */
  async leave(): Promise<void> {
    this.ticker?.stop();
    if (this.isListed) await this.store.remove('members', this.settings.name);
  }

  /** Enters this daemon before it reads: of two that start at once, one sees the other. */
  private async refresh(): Promise<void> {
    const now = steadyNow();
    if (this.busy || now - this.lastRead < READ_PERIOD_MS) return;
    this.busy = true;
    try {
      if (!this.isListed) await this.enter();
      if (await this.read()) this.lastRead = now;
    } finally {
      this.busy = false;
    }
  }

  private async enter(): Promise<void> {
    const { name, zone } = this.settings;
    const value = { address: this.peers.address, zone };
    const created = await this.store.write('members', name, value, undefined);
    this.isListed = created.isOk;
    if (created.isOk || created.error.type !== 'conflict') return;
    const known = await this.store.read('members', name);
    if (known.isErr || known.value === undefined) return;
    const isCurrent = dutyMember(known.value.value).some(
      (member) => member.address === value.address,
    );
    const written = isCurrent
      ? known
      : await this.store.write('members', name, value, known.value.revision);
    this.isListed = written.isOk;
  }

  private async read(): Promise<boolean> {
    const list = await this.store.list('members');
    if (list.isErr) return false;
    this.listed = list.value.flatMap(({ value }) => dutyMember(value));
    const others = this.listed.filter((member) => member.address !== this.peers.address);
    this.peers.addSeeds(others.map((member) => member.address));
    return this.isListed;
  }
}

function dutyMember(value: unknown): DutyMember[] {
  if (typeof value !== 'object' || value === null) return [];
  const { address, zone } = value as Partial<DutyMember>;
  if (typeof address !== 'string' || typeof zone !== 'string') return [];
  return [{ address, zone, site: '' }];
}
