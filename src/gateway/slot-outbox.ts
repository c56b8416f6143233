/** Batches messages about slots: the messages of one turn of the event loop go to each peer in as few datagrams as possible. */
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

/** Maximum number of entries per datagram. An entry has about 60 bytes, so the datagram is not fragmented. */
const MAX_ENTRIES = 16;

/** One entry of a message to a peer. */
export type SlotEntry =
  | { readonly kind: 'ask'; readonly value: SlotAsk }
  | { readonly kind: 'taken'; readonly value: SlotUse }
  | { readonly kind: 'ended'; readonly value: SlotEnd }
  | { readonly kind: 'list'; readonly value: SlotList }
  | { readonly kind: 'reply'; readonly value: SlotWord };

/** Collects entries until the end of the turn. */
export class SlotOutbox {
  private readonly entries = new Map<string, SlotEntry[]>();
  private isScheduled = false;

  constructor(private readonly send: (to: string, body: PeerBody) => void) {}

  /** Sends the entry to the peer at the end of this turn, together with the other entries for that peer. */
  enqueue(to: string, entry: SlotEntry): void {
    const queued = this.entries.get(to) ?? [];
    this.entries.set(to, queued);
    queued.push(entry);
    if (this.isScheduled) return;
    this.isScheduled = true;
    setImmediate(() => this.flush());
  }

  private flush(): void {
    this.isScheduled = false;
    const batches = [...this.entries];
    this.entries.clear();
    for (const [to, entries] of batches) {
      for (let offset = 0; offset < entries.length; offset += MAX_ENTRIES) {
        this.sendBatch(to, entries.slice(offset, offset + MAX_ENTRIES));
      }
    }
  }

  private sendBatch(to: string, entries: readonly SlotEntry[]): void {
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
