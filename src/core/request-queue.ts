/** A bounded queue of waiting requests, ordered by priority, then deadline, then arrival. Pure. */

/** What the order depends on. */
export interface Queued {
  readonly id: string;
  /** Lower is more urgent. */
  readonly priority: number;
  /** Unix milliseconds. */
  readonly deadline: number;
}

interface Slot<Item extends Queued> {
  readonly item: Item;
  readonly arrival: number;
}

/** Waiting requests of one tenant at one router. */
export class RequestQueue<Item extends Queued> {
  private readonly slots: Slot<Item>[] = [];
  private arrivals = 0;

  /** Requests waiting. */
  get size(): number {
    return this.slots.length;
  }

  /** Adds a request in its place. */
  push(item: Item): void {
    const slot = { item, arrival: this.arrivals };
    this.arrivals += 1;
    let low = 0;
    let high = this.slots.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      const other = this.slots[middle];
      if (other !== undefined && comesBefore(other, slot)) low = middle + 1;
      else high = middle;
    }
    this.slots.splice(low, 0, slot);
  }

  /** The most urgent request, which stays. */
  peek(): Item | undefined {
    return this.slots[0]?.item;
  }

  /** Takes the most urgent request. */
  shift(): Item | undefined {
    return this.slots.shift()?.item;
  }

  /** Takes a request out; false if it does not wait here. */
  remove(id: string): boolean {
    const index = this.slots.findIndex((slot) => slot.item.id === id);
    if (index < 0) return false;
    this.slots.splice(index, 1);
    return true;
  }

  /** All requests, most urgent first. */
  items(): Item[] {
    return this.slots.map((slot) => slot.item);
  }

  /** Earliest deadline of all; Infinity for none. */
  earliestDeadline(): number {
    return this.slots.reduce((low, slot) => Math.min(low, slot.item.deadline), Infinity);
  }
}

function comesBefore<Item extends Queued>(a: Slot<Item>, b: Slot<Item>): boolean {
  if (a.item.priority !== b.item.priority) return a.item.priority < b.item.priority;
  if (a.item.deadline !== b.item.deadline) return a.item.deadline < b.item.deadline;
  return a.arrival < b.arrival;
}
