/**
 * The other daemons that read the platform's directory closely, as this daemon hears them: whether they live,
 * whether the platform answers them, and whether they list the same backends as this daemon holds.
 * Times are milliseconds of the lease clock: what a reader said before a machine was suspended is old.
 */

/** Without news for so long a reader counts no more: it may have ended, or be cut off from this daemon. */
const NEWS_SILENCE_MS = 1_500;
/**
 * A reader may list other backends than this daemon for so long: those that hear of a change from each other,
 * or read it themselves, agree again with the next news, which come every 0.75 s.
 */
const DIFFERENCE_MS = 800;
/** A difference that was there after this daemon had read for itself is the reader's, for so long. */
const SETTLED_MS = 10_000;

/** What a reader has said of itself. */
export interface ReaderNews {
  /** The newest configuration that it has in force. */
  readonly version: number;
  readonly platformAway: boolean;
  /** Digest of the backends that it lists as serving; undefined if it does not tell. */
  readonly servingDigest: number | undefined;
}

interface KnownReader extends ReaderNews {
  readonly heardAt: number;
  /** Since when it has listed other backends than this daemon holds. */
  readonly differsSince: number | undefined;
  /** A difference that this daemon has looked into. */
  readonly settled: SettledDifference | undefined;
}

interface SettledDifference {
  readonly digest: number | undefined;
  readonly at: number;
}

/** How many readers are heard. */
export interface ReaderCounts {
  readonly readers: number;
  /** Those of them that the platform answers. */
  readonly answered: number;
}

/** All readers that are heard. */
export class KnownReaders {
  /** By peer address. */
  private readonly readers = new Map<string, KnownReader>();

  /** Takes a reader's news; `ownDigest` is of the backends that this daemon holds with them. */
  hear(address: string, news: ReaderNews, ownDigest: number, now: number): void {
    const known = this.readers.get(address);
    const differs = !news.platformAway && differsFrom(news, ownDigest);
    const isSettled = known?.settled?.digest === news.servingDigest && !isOld(known?.settled, now);
    const differsSince = differs && !isSettled ? (known?.differsSince ?? now) : undefined;
    const settled = isSettled ? known?.settled : undefined;
    this.readers.set(address, { ...news, heardAt: now, differsSince, settled });
  }

  /** Drops those that were not heard lately. */
  forgetSilent(now: number): void {
    for (const [address, reader] of this.readers) {
      if (!isHeard(reader, now)) this.readers.delete(address);
    }
  }

  counts(now: number): ReaderCounts {
    const heard = [...this.readers.values()].filter((reader) => isHeard(reader, now));
    const answered = heard.filter(({ platformAway }) => !platformAway);
    return { readers: heard.length, answered: answered.length };
  }

  /** Whether a reader is heard that the platform answers, those that are left out aside. */
  hearsAnswered(now: number, leftOut: ReadonlySet<string> = new Set()): boolean {
    return [...this.readers].some(([address, reader]) => {
      return !leftOut.has(address) && isHeard(reader, now) && !reader.platformAway;
    });
  }

  /** When a reader that the platform answers was last heard; never is -Infinity. */
  answeredHeardAt(): number {
    const answered = [...this.readers.values()].filter(({ platformAway }) => !platformAway);
    return Math.max(-Infinity, ...answered.map(({ heardAt }) => heardAt));
  }

  /** The newest configuration that a reader has in force; 0 if none is known. */
  newestVersion(): number {
    return Math.max(0, ...[...this.readers.values()].map(({ version }) => version));
  }

  /** A reader that has listed other backends than this daemon holds for longer than news take. */
  differingReader(ownDigest: number, now: number): string | undefined {
    for (const [address, reader] of this.readers) {
      const { differsSince = Infinity } = reader;
      if (differsFrom(reader, ownDigest) && now - differsSince >= DIFFERENCE_MS) return address;
    }
    return undefined;
  }

  /** This daemon has read for itself: where readers still differ, it is not this daemon that lacks something. */
  settleDifferences(now: number): void {
    for (const [address, reader] of this.readers) {
      const settled = { digest: reader.servingDigest, at: now };
      this.readers.set(address, { ...reader, differsSince: undefined, settled });
    }
  }
}

function isHeard(reader: KnownReader, now: number): boolean {
  return now - reader.heardAt <= NEWS_SILENCE_MS;
}

function differsFrom({ servingDigest }: ReaderNews, ownDigest: number): boolean {
  return servingDigest !== undefined && servingDigest !== ownDigest;
}

function isOld(settled: SettledDifference | undefined, now: number): boolean {
  return settled === undefined || now - settled.at > SETTLED_MS;
}
