/** News of members that ride on probes: the freshest first, within the bytes of a datagram. Pure. */
import type { MemberView } from './membership-messages.js';

/** Times that a piece of news is passed on, times the logarithm of the group's size. */
const SPREAD_FACTOR = 3;
/** Bytes of news on one message: with its head it stays within the 1,400 that no link divides. */
const MESSAGE_BYTES = 1_200;
/** Bytes of a piece of news besides its texts: two numbers of 9, a state, and their tags. */
const PIECE_BYTES = 28;

/** What is still to be passed on. */
export class MembershipNews {
  /** Members that news are about, and how often they are still to be passed on. */
  private readonly remaining = new Map<string, number>();

  /** Something about a member has changed, in a group of so many. */
  add(address: string, groupSize: number): void {
    this.remaining.set(address, Math.ceil(SPREAD_FACTOR * Math.log2(groupSize + 2)));
  }

  /** Nothing more is told of a member. */
  drop(address: string): void {
    this.remaining.delete(address);
  }

  /**
   * News for one message.
   * @param first - Told in any case.
   * @param receiver - Knows of itself.
   */
  take(
    first: readonly MemberView[],
    receiver: string,
    viewOf: (address: string) => MemberView | undefined,
  ): MemberView[] {
    const views = [...first];
    let bytes = views.reduce((sum, view) => sum + bytesOf(view), 0);
    const freshest = [...this.remaining].sort(([, a], [, b]) => b - a);
    for (const [address, left] of freshest) {
      const view = viewOf(address);
      const size = view === undefined ? 0 : bytesOf(view);
      if (bytes + size > MESSAGE_BYTES) break;
      if (view !== undefined && address !== receiver) {
        views.push(view);
        bytes += size;
      }
      if (left > 1) this.remaining.set(address, left - 1);
      else this.remaining.delete(address);
    }
    return views;
  }
}

function bytesOf(view: MemberView): number {
  return view.address.length + view.zone.length + view.site.length + PIECE_BYTES;
}
