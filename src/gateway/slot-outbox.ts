/** Joins what is to be told of slots in one turn of the event loop: one datagram for each peer. */
import { create } from '@bufbuild/protobuf';
import type { PeerBody } from '../daemon/peer-transport.js';
import {
  SlotReportSchema,
  SlotWordsSchema,
  type SlotAsk,
  type SlotEnd,
  type SlotList,
  type SlotUse,
  type SlotWord,
} from '../proto/gen/internal_pb.js';

/** Entries of a datagram: some 60 bytes each, so that it is not divided on the way. */
const MOST_ENTRIES = 16;

/** One thing to tell a peer. */
export type SlotEntry =
  | { readonly kind: 'ask'; readonly value: SlotAsk }
  | { readonly kind: 'taken'; readonly value: SlotUse }
  | { readonly kind: 'ended'; readonly value: SlotEnd }
  | { readonly kind: 'list'; readonly value: SlotList }
  | { readonly kind: 'word'; readonly value: SlotWord };

/** Collects entries until the turn ends. */
export class SlotOutbox {
  private readonly entries = new Map<string, SlotEntry[]>();
  private isScheduled = false;

  constructor(private readonly send: (to: string, body: PeerBody) => void) {}

  /** Sends the entry to the peer at the end of this turn, with all others for it. */
  tell(to: string, entry: SlotEntry): void {
    const waiting = this.entries.get(to) ?? [];
    this.entries.set(to, waiting);
    waiting.push(entry);
    if (this.isScheduled) return;
    this.isScheduled = true;
    setImmediate(() => this.flush());
  }

  private flush(): void {
    this.isScheduled = false;
    const all = [...this.entries];
    this.entries.clear();
    for (const [to, entries] of all) {
      for (let from = 0; from < entries.length; from += MOST_ENTRIES) {
        this.sendPart(to, entries.slice(from, from + MOST_ENTRIES));
      }
    }
  }

  private sendPart(to: string, entries: readonly SlotEntry[]): void {
    const report = create(SlotReportSchema);
    const words = create(SlotWordsSchema);
    for (const entry of entries) {
      if (entry.kind === 'ask') report.asks.push(entry.value);
      else if (entry.kind === 'taken') report.taken.push(entry.value);
      else if (entry.kind === 'ended') report.ended.push(entry.value);
      else if (entry.kind === 'list') report.lists.push(entry.value);
      else words.words.push(entry.value);
    }
    if (words.words.length > 0) this.send(to, { case: 'slotWords', value: words });
    if (words.words.length < entries.length) this.send(to, { case: 'slotReport', value: report });
  }
}
