/**
 * Tracks which software versions the backends of each service have had, to tell whether a stream can have begun at only one.
 * No I/O; times are milliseconds of a monotonic clock.
 */
import type { BackendRecord } from './service-configuration.js';

/** Time after which a version that no backend has any more is deleted, in milliseconds. */
const RETENTION_MS = 600_000;

/** The parts of a backend's record that count. */
type VersionedBackend = Pick<BackendRecord, 'service' | 'softwareVersion'>;

/** Versions of one service, with the time until which a backend had each; infinite for those that one has now. */
type SeenUntil = Map<string | undefined, number>;

/** The software versions of all services, as one daemon has seen them. */
export class ServiceVersions {
  private readonly services = new Map<string, SeenUntil>();

  /** Records all backends that are listed now. */
  observe(backends: readonly VersionedBackend[], now: number): void {
    for (const versions of this.services.values()) {
      for (const [version, until] of versions) {
        if (until === Infinity) versions.set(version, now);
        else if (now - until > RETENTION_MS) versions.delete(version);
      }
    }
    for (const { service, softwareVersion } of backends) {
      const versions: SeenUntil = this.services.get(service) ?? new Map<undefined, number>();
      versions.set(softwareVersion, Infinity);
      this.services.set(service, versions);
    }
    for (const [service, versions] of this.services) {
      if (versions.size === 0) this.services.delete(service);
    }
  }

  /** Returns the only version that backends of a service have had for `sinceMs`; undefined if there were others, or an unknown one. */
  soleVersion(service: string, sinceMs: number, now: number): string | undefined {
    const versions = [...(this.services.get(service) ?? [])];
    const recent = versions.filter(([, until]) => until >= now - sinceMs);
    return recent.length === 1 ? recent[0]?.[0] : undefined;
  }
}
