/** Membership updates that are piggybacked on probes, newest first, within the size of a datagram. Performs no I/O. */
import type { MemberView } from './membership-messages.js';

/** An update is sent this many times the logarithm of the group's size. */
const RETRANSMISSION_FACTOR = 3;
/** Bytes of updates in one message. With its header, the message stays within 1,400 bytes, which no link fragments. */
const MAX_UPDATES_BYTES = 1_200;
/** Bytes of an update without its strings: two numbers of 9 bytes, a state, and their tags. */
const FIXED_UPDATE_BYTES = 28;

/** Updates that still have to be sent. */
export class MembershipUpdates {
  /** Addresses of members with updates, and how often each still has to be sent. */
  private readonly remainingSends = new Map<string, number>();

  /** Queues an update about a member. */
  add(address: string, groupSize: number): void {
    this.remainingSends.set(address, Math.ceil(RETRANSMISSION_FACTOR * Math.log2(groupSize + 2)));
  }

  /** Removes the update about a member. */
  remove(address: string): void {
    this.remainingSends.delete(address);
  }

  /**
   * Returns the updates for one message and counts them as sent.
   * @param first - Included regardless of the size limit.
   * @param receiver - Address of the receiver, whose own update is left out.
   */
  take(
    first: readonly MemberView[],
    receiver: string,
    viewOf: (address: string) => MemberView | undefined,
  ): MemberView[] {
    const views = [...first];
    let bytes = views.reduce((sum, view) => sum + bytesOf(view), 0);
    const newest = [...this.remainingSends].sort(([, a], [, b]) => b - a);
    for (const [address, sendsLeft] of newest) {
      const view = viewOf(address);
      const size = view === undefined ? 0 : bytesOf(view);
      if (bytes + size > MAX_UPDATES_BYTES) break;
      if (view !== undefined && address !== receiver) {
        views.push(view);
        bytes += size;
      }
      if (sendsLeft > 1) this.remainingSends.set(address, sendsLeft - 1);
      else this.remainingSends.delete(address);
    }
    return views;
  }
}

function bytesOf(view: MemberView): number {
  return view.address.length + view.zone.length + view.site.length + FIXED_UPDATE_BYTES;
}
