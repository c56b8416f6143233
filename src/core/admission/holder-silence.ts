/**
 * What a daemon may do that hears nothing from a holder. Requests far below a limit do not wait for
 * the holder's word, but each daemon asks for one now and then: who is cut off notices, before it
 * has let much pass, that nobody counts what it tells. Pure; times are milliseconds of a steady clock.
 */

/** A word is asked for again after so long: a few datagrams a second, however many the requests. */
const WORD_PERIOD_MS = 250;
/** Without a word by then the holder is silent: many times what a datagram takes. */
const SILENT_AFTER_MS = 200;
/**
 * A daemon counts its own share alone after so long without a word: by then a holder that is cut off
 * has lost its lease, and one that has a lease sees that this daemon is cut off and lends its share
 * to nobody. Membership takes about two seconds for that.
 */
const ALONE_AFTER_MS = 2_500;

/** One daemon's silence on one name. */
export class HolderSilence {
  private heardAt = -Infinity;
  /** When a word was asked for first that has not come. */
  private silentSince: number | undefined;
  /** Units told since the last word. */
  private unheardUnits = 0;

  /** Notes units that the holder is told; returns whether to ask it for a word. */
  tell(units: number, now: number): boolean {
    this.unheardUnits += units;
    const wantsWord = now - this.heardAt >= WORD_PERIOD_MS;
    if (wantsWord) this.ask(now);
    return wantsWord;
  }

  /** A word was asked for. */
  ask(now: number): void {
    this.silentSince ??= now;
  }

  /** A holder with a lease has said something. */
  hear(now: number): void {
    this.heardAt = now;
    this.silentSince = undefined;
    this.unheardUnits = 0;
  }

  /**
   * Whether the holder may be taken to count what it is told.
   *
   * @param units - Units of the request at hand.
   * @param share - The most units that may pass without a word: this daemon's equal share of the limit.
   */
  isHeard(units: number, share: number, now: number): boolean {
    const isLate = this.silentSince !== undefined && now - this.silentSince > SILENT_AFTER_MS;
    return !isLate && this.unheardUnits + units <= share;
  }

  /** Whether this daemon may use its share alone. */
  mayCountAlone(now: number): boolean {
    return this.silentSince !== undefined && now - this.silentSince >= ALONE_AFTER_MS;
  }
}
