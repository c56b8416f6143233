/** Bounds how many log lines of each kind of event are written. Pure. */

/** Lines of one kind that may be written at once, and that are added each second. */
const BURST_LINES = 200;
const LINES_PER_SECOND = 50;

/** Whether a line is written. */
export interface LineGrant {
  readonly written: boolean;
  /** Lines of the kind that were left out since the last one that was written. */
  readonly leftOut: number;
}

interface Kind {
  lines: number;
  updatedAt: number;
  leftOut: number;
}

/** A bucket of lines for each kind of event. */
export class LineBudget {
  private readonly kinds = new Map<string, Kind>();

  /**
   * Asks for one line.
   *
   * @param now - Milliseconds of a steady clock.
   * @param isBlocked - The reader does not keep up: the line is left out in any case.
   */
  take(event: string, now: number, isBlocked: boolean): LineGrant {
    const kind = this.kinds.get(event) ?? { lines: BURST_LINES, updatedAt: now, leftOut: 0 };
    this.kinds.set(event, kind);
    const added = ((now - kind.updatedAt) / 1_000) * LINES_PER_SECOND;
    kind.lines = Math.min(BURST_LINES, kind.lines + added);
    kind.updatedAt = now;
    if (isBlocked || kind.lines < 1) {
      kind.leftOut += 1;
      return { written: false, leftOut: kind.leftOut };
    }
    kind.lines -= 1;
    const { leftOut } = kind;
    kind.leftOut = 0;
    return { written: true, leftOut };
  }
}
