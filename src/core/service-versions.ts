/**
 * Tracks which software versions the backends of each service have had, to tell whether a stream can have begun at only one.
 * Versions that were not seen prove nothing about times at which the list of backends was not current, such as before the start of
 * this process. No I/O; times are milliseconds.
 */
import type { BackendRecord } from './service-configuration.js';

/** Time after which a version that no backend has any more is deleted, in milliseconds. */
const RETENTION_MS = 600_000;
/** Longest time that {@link ServiceVersions} can state all versions for, in milliseconds. */
export const MAX_OBSERVED_MS = RETENTION_MS;
/** Longest time without a current list over which versions still count as observed, in milliseconds. */
const MAX_UNOBSERVED_MS = 5_000;

/** The parts of a backend's record that count. */
export type VersionedBackend = Pick<BackendRecord, 'service' | 'softwareVersion'>;

/** Time since each version of each service was last seen, in milliseconds; 0 for those that a backend has now. */
export type VersionAges = ReadonlyMap<string, ReadonlyMap<string | undefined, number>>;

/** Versions of one service, with the time until which a backend had each; infinite for those that one has now. */
type SeenUntil = Map<string | undefined, number>;

/**
 * One moment by both clocks of the process. Each errs in one direction: the steady clock may stop while the machine is suspended and is
 * never ahead, so it measures minimum times; the lease clock is never behind, so it detects that the list was not current.
 */
export interface ClockReading {
  readonly steady: number;
  readonly lease: number;
}

/** The software versions of all services, as one daemon has seen them. */
export class ServiceVersions {
  private readonly services = new Map<string, SeenUntil>();
  /** Steady time since which the list was current without longer interruptions; undefined if it never was. */
  private observedSince: number | undefined;
  /** Last lease time at which the list was current. */
  private observedUntil = -Infinity;

  /** Records all backends that are listed now, at a steady time. Returns whether a service has a version that it did not have just before. */
  observe(backends: readonly VersionedBackend[], now: number): boolean {
    let hasAppeared = false;
    const before = new Map([...this.services].map(([name, versions]) => [name, new Map(versions)]));
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
      if (before.get(service)?.get(softwareVersion) !== Infinity) hasAppeared = true;
    }
    for (const [service, versions] of this.services) {
      if (versions.size === 0) this.services.delete(service);
    }
    return hasAppeared;
  }

  /**
   * Records how old the list of backends is; call it several times a second. Its state that long ago is known, infinite for a list
   * that was never received.
   */
  recordListAge(ageMs: number, { steady, lease }: ClockReading): void {
    const currentAt = lease - ageMs;
    if (currentAt <= this.observedUntil) return;
    if (currentAt - this.observedUntil > MAX_UNOBSERVED_MS) this.observedSince = steady;
    this.observedUntil = currentAt;
  }

  /** Time for which the versions were observed until now, in milliseconds; 0 if the list is not current. */
  observedMs({ steady, lease }: ClockReading): number {
    if (this.observedSince === undefined || lease - this.observedUntil > MAX_UNOBSERVED_MS)
      return 0;
    return steady - this.observedSince;
  }

  /**
   * Returns the only version that backends of a service have had for `sinceMs`; undefined if there were others, an unknown one, or if
   * not all of that time was observed.
   */
  soleVersion(service: string, sinceMs: number, now: ClockReading): string | undefined {
    return this.observedMs(now) < sinceMs ? undefined : this.soleSeen(service, sinceMs, now);
  }

  /**
   * Returns the only version that was seen at backends of a service for `sinceMs`, also before interruptions of the list. It contradicts
   * other versions that another daemon infers, and proves nothing about times that were not observed.
   */
  soleSeen(service: string, sinceMs: number, now: ClockReading): string | undefined {
    if (sinceMs > RETENTION_MS) return undefined;
    const versions = [...(this.services.get(service) ?? [])];
    const recent = versions.filter(([, until]) => until >= now.steady - sinceMs);
    return recent.length === 1 ? recent[0]?.[0] : undefined;
  }

  /** Whether backends of a service were seen with several versions, or an unknown one, for `sinceMs`. */
  hasSeenSeveral(service: string, sinceMs: number, now: ClockReading): boolean {
    const recent = [...(this.services.get(service) ?? [])].filter(
      ([, until]) => until >= now.steady - sinceMs,
    );
    return recent.length > 1 || recent.some(([version]) => version === undefined);
  }

  /** Whether the list is current, and has been without a gap since a steady time. */
  hasObservedSince(since: number, now: ClockReading): boolean {
    const isCurrent = now.lease - this.observedUntil <= MAX_UNOBSERVED_MS;
    return isCurrent && this.observedSince !== undefined && this.observedSince <= since;
  }

  /** Returns when each version was last seen, of those that are still kept. */
  ages(now: ClockReading): VersionAges {
    const ageOf = (until: number): number => Math.max(0, now.steady - until);
    return new Map(
      [...this.services].map(([service, versions]) => [
        service,
        new Map([...versions].map(([version, until]) => [version, ageOf(until)])),
      ]),
    );
  }
}
