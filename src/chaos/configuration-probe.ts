/** Watches when accepted changes are in force, and whether a daemon ever steps back. */
import { AdminClient } from '../client/admin-client.js';
import { sleep } from '../common/process.js';
import { ADMIN_KEY, type ClusterDaemon } from '../testbed/local-cluster.js';
import type { ConfigurationTrial } from './auditor.js';

const POLL_MS = 40;
const GIVE_UP_MS = 8_000;

/** Asks daemons for their revisions. */
export class ConfigurationProbe {
  readonly trials: ConfigurationTrial[] = [];
  /** Steps to a lower revision that were seen while the daemon was ready. */
  reversions = 0;
  private readonly clients = new Map<string, AdminClient>();
  private readonly highest = new Map<string, number>();

  /** Ends the connections. */
  close(): void {
    for (const client of this.clients.values()) client.close();
  }

  /**
   * Applies a change through one daemon and measures until all of `everywhere`
   * are at its revision. Resolves with false if the change was not accepted.
   */
  async tryChange(
    through: ClusterDaemon,
    everywhere: readonly ClusterDaemon[],
    document: { readonly name: string },
  ): Promise<boolean> {
    const applied = await this.clientOf(through).put('tenants', document.name, document);
    if (applied.isErr) return false;
    const acceptedAt = Date.now();
    const waits = everywhere.map((daemon) =>
      this.waitFor(daemon, applied.value.version, acceptedAt),
    );
    const reached = await Promise.all(waits);
    const late = reached.some((milliseconds) => milliseconds === undefined);
    const inForceMs = Math.max(...reached.map((milliseconds) => milliseconds ?? 0));
    this.trials.push({ inForceMs: late ? undefined : inForceMs });
    return true;
  }

  /** Looks at a daemon's revision once. */
  async look(daemon: ClusterDaemon): Promise<number | undefined> {
    const status = await this.clientOf(daemon).status();
    if (status.isErr || !status.value.ready) return undefined;
    const revision = status.value.configurationRevision;
    const before = this.highest.get(daemon.callers) ?? 0;
    if (revision < before) this.reversions += 1;
    this.highest.set(daemon.callers, Math.max(before, revision));
    return revision;
  }

  private async waitFor(
    daemon: ClusterDaemon,
    version: number,
    since: number,
  ): Promise<number | undefined> {
    while (Date.now() - since < GIVE_UP_MS) {
      const revision = await this.look(daemon);
      if (revision !== undefined && revision >= version) return Date.now() - since;
      await sleep(POLL_MS);
    }
    return undefined;
  }

  private clientOf(daemon: ClusterDaemon): AdminClient {
    const known = this.clients.get(daemon.callers);
    if (known !== undefined) return known;
    const client = new AdminClient(daemon.callers, ADMIN_KEY);
    this.clients.set(daemon.callers, client);
    return client;
  }
}
