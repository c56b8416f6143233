/** A bounded queue of waiting requests, ordered by priority, then deadline, then arrival. Pure. */

/** The fields that determine a request's position. */
export interface QueuedRequest {
  readonly id: string;
  /** Lower is more urgent. */
  readonly priority: number;
  /** Unix milliseconds. */
  readonly deadline: number;
}

interface QueueEntry<Item extends QueuedRequest> {
  readonly item: Item;
  readonly arrival: number;
}

/** The waiting requests of one tenant at one router. */
export class RequestQueue<Item extends QueuedRequest> {
  private readonly entries: QueueEntry<Item>[] = [];
  private arrivals = 0;

  /** Number of waiting requests. */
  get size(): number {
    return this.entries.length;
  }

  /** Inserts a request at its position in the order. */
  push(item: Item): void {
    const entry = { item, arrival: this.arrivals };
    this.arrivals += 1;
    let low = 0;
    let high = this.entries.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      const other = this.entries[middle];
      if (other !== undefined && comesBefore(other, entry)) low = middle + 1;
      else high = middle;
    }
    this.entries.splice(low, 0, entry);
  }

  /** Returns the most urgent request without removing it. */
  peek(): Item | undefined {
    return this.entries[0]?.item;
  }

  /** Removes and returns the most urgent request. */
  shift(): Item | undefined {
    return this.entries.shift()?.item;
  }

  /** Removes a request; returns false if it is not in the queue. */
  remove(id: string): boolean {
    const index = this.entries.findIndex((entry) => entry.item.id === id);
    if (index < 0) return false;
    this.entries.splice(index, 1);
    return true;
  }

  /** All requests, most urgent first. */
  items(): Item[] {
    return this.entries.map((entry) => entry.item);
  }

  /** The earliest deadline in Unix milliseconds; Infinity if the queue is empty. */
  earliestDeadline(): number {
    return this.entries.reduce((low, entry) => Math.min(low, entry.item.deadline), Infinity);
  }
}

function comesBefore<Item extends QueuedRequest>(
  a: QueueEntry<Item>,
  b: QueueEntry<Item>,
): boolean {
  if (a.item.priority !== b.item.priority) return a.item.priority < b.item.priority;
  if (a.item.deadline !== b.item.deadline) return a.item.deadline < b.item.deadline;
  return a.arrival < b.arrival;
}
