/**
 * Tracks the other daemons that read the platform's directory closely, by the updates received from them:
 * whether they run, whether the platform responds to them, and whether they list the same backends as this
 * daemon. Times are milliseconds of the lease clock, which counts the time that a machine is suspended:
 * updates from before a suspension are expired.
 */

/** A reader without updates for this time no longer counts: it may have ended, or be cut off from this daemon. */
const READER_TIMEOUT_MS = 1_500;
/**
 * Time for which a reader's list may differ from this daemon's backends. Daemons that receive a change from
 * each other, or read it themselves, agree again with the next update, which is sent every 0.75 s.
 */
const MAX_DIFFERENCE_MS = 800;
/** A difference that remains after this daemon read the directory itself is attributed to the reader for this time. */
const CHECKED_DIFFERENCE_VALID_MS = 10_000;

/** The status that a reader reports of itself. */
export interface ReaderStatus {
  /** Version of the newest configuration that it has in force. */
  readonly version: number;
  readonly platformAway: boolean;
  /** Digest of the backends that it lists as serving; undefined if it sends none. */
  readonly servingDigest: number | undefined;
}

interface KnownReader extends ReaderStatus {
  readonly updatedAt: number;
  /** Time since which its list has differed from this daemon's backends; undefined if it does not. */
  readonly differsSince: number | undefined;
  /** A difference that this daemon has checked by a read of its own. */
  readonly checked: CheckedDifference | undefined;
}

interface CheckedDifference {
  readonly digest: number | undefined;
  readonly at: number;
}

/** Numbers of readers that send updates. */
export interface ReaderCounts {
  readonly readers: number;
  /** Number of those to which the platform responds. */
  readonly answered: number;
}

/** All readers that send updates to this daemon. */
export class KnownReaders {
  /** By peer address. */
  private readonly readers = new Map<string, KnownReader>();

  /** Records a reader's status; `ownDigest` is the digest of this daemon's backends after the same update. */
  recordStatus(address: string, status: ReaderStatus, ownDigest: number, now: number): void {
    const known = this.readers.get(address);
    const differs = !status.platformAway && differsFrom(status, ownDigest);
    const isChecked =
      known?.checked?.digest === status.servingDigest && !isExpired(known?.checked, now);
    const differsSince = differs && !isChecked ? (known?.differsSince ?? now) : undefined;
    const checked = isChecked ? known?.checked : undefined;
    this.readers.set(address, { ...status, updatedAt: now, differsSince, checked });
  }

  /** Deletes readers without a recent update. */
  deleteExpired(now: number): void {
    for (const [address, reader] of this.readers) {
      if (!isActive(reader, now)) this.readers.delete(address);
    }
  }

  counts(now: number): ReaderCounts {
    const active = [...this.readers.values()].filter((reader) => isActive(reader, now));
    const answered = active.filter(({ platformAway }) => !platformAway);
    return { readers: active.length, answered: answered.length };
  }

  /** Whether any reader, except those in `excluded`, sends updates and gets responses from the platform. */
  hasWorkingReader(now: number, excluded: ReadonlySet<string> = new Set()): boolean {
    return [...this.readers].some(([address, reader]) => {
      return !excluded.has(address) && isActive(reader, now) && !reader.platformAway;
    });
  }

  /** Time of the last update of a reader to which the platform responds; -Infinity if there is none. */
  workingReaderUpdatedAt(): number {
    const answered = [...this.readers.values()].filter(({ platformAway }) => !platformAway);
    return Math.max(-Infinity, ...answered.map(({ updatedAt }) => updatedAt));
  }

  /** Version of the newest configuration that a reader has in force; 0 if none is known. */
  newestVersion(): number {
    return Math.max(0, ...[...this.readers.values()].map(({ version }) => version));
  }

  /** Address of a reader whose list has differed from this daemon's backends for longer than updates take. */
  differingReader(ownDigest: number, now: number): string | undefined {
    for (const [address, reader] of this.readers) {
      const { differsSince = Infinity } = reader;
      if (differsFrom(reader, ownDigest) && now - differsSince >= MAX_DIFFERENCE_MS) return address;
    }
    return undefined;
  }

  /** Called after this daemon read the directory itself. Differences that remain are not due to changes that it missed. */
  markDifferencesChecked(now: number): void {
    for (const [address, reader] of this.readers) {
      const checked = { digest: reader.servingDigest, at: now };
      this.readers.set(address, { ...reader, differsSince: undefined, checked });
    }
  }
}

function isActive(reader: KnownReader, now: number): boolean {
  return now - reader.updatedAt <= READER_TIMEOUT_MS;
}

function differsFrom({ servingDigest }: ReaderStatus, ownDigest: number): boolean {
  return servingDigest !== undefined && servingDigest !== ownDigest;
}

function isExpired(checked: CheckedDifference | undefined, now: number): boolean {
  return checked === undefined || now - checked.at > CHECKED_DIFFERENCE_VALID_MS;
}
