/**
 * Measures how long accepted changes take to be in force, and counts the daemons'
 * steps back to a lower configuration revision.
 */
import { AdminClient } from '../client/admin-client.js';
import { sleep } from '../common/process.js';
import { ADMIN_KEY, type ClusterDaemon } from '../testbed/local-cluster.js';
import type { ConfigurationChangeRecord } from './auditor.js';

const POLL_MS = 40;
const POLL_TIMEOUT_MS = 8_000;

/** Polls the configuration revisions of daemons through their administration interface. */
export class ConfigurationProbe {
  readonly changeRecords: ConfigurationChangeRecord[] = [];
  /** How often a ready daemon reported a lower revision than before. */
  reversions = 0;
  private readonly clients = new Map<string, AdminClient>();
  private readonly highestRevisions = new Map<string, number>();

  /** Closes the connections to the daemons. */
  close(): void {
    for (const client of this.clients.values()) client.close();
  }

  /**
   * Applies a change through one daemon and measures the time until all of `targets`
   * have reached its revision. Resolves with false if the change was not accepted.
   */
  async applyAndMeasure(
    via: ClusterDaemon,
    targets: readonly ClusterDaemon[],
    document: { readonly name: string },
  ): Promise<boolean> {
    const applied = await this.clientFor(via).put('tenants', document.name, document);
    if (applied.isErr) return false;
    const acceptedAt = Date.now();
    const pendingDelays = targets.map((daemon) =>
      this.waitForRevision(daemon, applied.value.version, acceptedAt),
    );
    const delaysMs = await Promise.all(pendingDelays);
    const timedOut = delaysMs.some((milliseconds) => milliseconds === undefined);
    const inForceMs = Math.max(...delaysMs.map((milliseconds) => milliseconds ?? 0));
    this.changeRecords.push({ inForceMs: timedOut ? undefined : inForceMs });
    return true;
  }

  /** Reads a daemon's revision once; undefined if the daemon is not ready. */
  async readRevision(daemon: ClusterDaemon): Promise<number | undefined> {
    const status = await this.clientFor(daemon).status();
    if (status.isErr || !status.value.ready) return undefined;
    const revision = status.value.configurationRevision;
    const highestSoFar = this.highestRevisions.get(daemon.callers) ?? 0;
    if (revision < highestSoFar) this.reversions += 1;
    this.highestRevisions.set(daemon.callers, Math.max(highestSoFar, revision));
    return revision;
  }

  private async waitForRevision(
    daemon: ClusterDaemon,
    version: number,
    since: number,
  ): Promise<number | undefined> {
    while (Date.now() - since < POLL_TIMEOUT_MS) {
      const revision = await this.readRevision(daemon);
      if (revision !== undefined && revision >= version) return Date.now() - since;
      await sleep(POLL_MS);
    }
    return undefined;
  }

  private clientFor(daemon: ClusterDaemon): AdminClient {
    const existing = this.clients.get(daemon.callers);
    if (existing !== undefined) return existing;
    const client = new AdminClient(daemon.callers, ADMIN_KEY);
    this.clients.set(daemon.callers, client);
    return client;
  }
}
