/**
 * Detects that the holder of a limit does not reply, and decides what a daemon may admit meanwhile.
 * Requests far below a limit are admitted without waiting for the holder, but each daemon requests an
 * acknowledgment periodically. A daemon that is partitioned from the holder thus notices, before it
 * has admitted many units, that the holder does not count them. Pure; times are milliseconds of a
 * steady clock.
 */

/** Interval between requests for an acknowledgment: a few datagrams a second at any request rate. */
const ACKNOWLEDGMENT_PERIOD_MS = 250;
/** The holder counts as unresponsive after this time without a reply; a datagram takes a small part of it. */
const REPLY_TIMEOUT_MS = 200;
/**
 * Time without a reply after which a daemon counts its own share of the limit alone. By then a
 * partitioned holder has lost its lease, and a holder with a lease has noticed that this daemon is
 * partitioned and grants its share to no other daemon. Membership needs about two seconds for that.
 */
const INDEPENDENT_AFTER_MS = 2_500;

/** One daemon's contact with the holder of one name. */
export class HolderContact {
  private lastReplyAt = -Infinity;
  /** When the first reply was requested that has not arrived; undefined if none is outstanding. */
  private waitingSince: number | undefined;
  /** Units reported to the holder since its last reply. */
  private unacknowledgedUnits = 0;

  /** Records units that are reported to the holder. Returns whether to request an acknowledgment. */
  recordReported(units: number, now: number): boolean {
    this.unacknowledgedUnits += units;
    const needsAcknowledgment = now - this.lastReplyAt >= ACKNOWLEDGMENT_PERIOD_MS;
    if (needsAcknowledgment) this.recordReplyRequested(now);
    return needsAcknowledgment;
  }

  /** Records that a reply was requested from the holder. */
  recordReplyRequested(now: number): void {
    this.waitingSince ??= now;
  }

  /** Records a message from a holder that has a lease. */
  recordReply(now: number): void {
    this.lastReplyAt = now;
    this.waitingSince = undefined;
    this.unacknowledgedUnits = 0;
  }

  /**
   * Returns whether the holder can be assumed to receive and count the reported units.
   *
   * @param units - Units of the current request.
   * @param share - Maximum number of units between two replies: this daemon's equal share of the limit.
   */
  isResponsive(units: number, share: number, now: number): boolean {
    const isOverdue = this.waitingSince !== undefined && now - this.waitingSince > REPLY_TIMEOUT_MS;
    return !isOverdue && this.unacknowledgedUnits + units <= share;
  }

  /** Returns whether this daemon may use its own share without the holder. */
  mayUseOwnShare(now: number): boolean {
    return this.waitingSince !== undefined && now - this.waitingSince >= INDEPENDENT_AFTER_MS;
  }
}
