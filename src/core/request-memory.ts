/**
 * Accounts for the memory that the requests of callers take, from the first byte of a head until the request has ended, over all
 * ports of a daemon. While all together take too much, it selects the request to refuse among those that have not been received in
 * full: the one that has taken the most memory for the longest time. A complete request is never selected. Pure; times are
 * milliseconds of a monotonic clock.
 */
import { descriptorLimitsFor } from './descriptor-limits.js';

/** Share of process memory for requests; the rest is for answers, code, heap and connections. */
const MEMORY_SHARE = 1 / 8;
const MEGABYTE = 1024 * 1024;
/** Memory of one request beside its bytes: the objects of its head, its response and its connection. */
const REQUEST_OVERHEAD_BYTES = 8 * 1024;
/** Most bodies in very many parts that are received at the same time. Each part costs processor time. */
const MAX_FRAGMENTED_BODIES = 4;
/** Largest head and trailers of one request, on any port. */
const MAX_FIELD_BYTES = 320 * 1024;
/**
 * Share of the memory that large requests may take together; the rest is for small ones, so that large ones can't keep them out. A single
 * large one may take all that the others leave.
 */
const LARGE_REQUEST_SHARE = 3 / 4;
/** A request of at most this share of the memory is small. */
const SMALL_REQUEST_SHARE = 1 / 256;

/** Limits of {@link RequestMemory}. */
export interface RequestMemoryLimits {
  /** Limit for all requests together, in bytes. */
  readonly totalBytes: number;
  /** Limit for the number of requests. */
  readonly requests: number;
}

/** The state of a {@link RequestMemory}, for log lines. */
export interface RequestMemoryState {
  readonly heldBytes: number;
  readonly limitBytes: number;
  readonly requests: number;
}

/** The memory of one request. */
export interface RequestReservation {
  /**
   * Records that the body is being received.
   *
   * @param refuse - Called if the request is to be refused for the sake of others. The reservation is released already.
   */
  beginBody(refuse: () => void): void;
  /** Records the bytes that the body takes now. Returns false if there is no room: the request is to be refused. */
  record(bytes: number): boolean;
  /**
   * Records that the body comes in very many parts. Returns false if too many bodies do at the same time: the request is to be refused.
   */
  beginFragmented(): boolean;
  /** Records that the request was received in full. */
  complete(): void;
  /** Releases the memory. Further calls have no effect. */
  release(): void;
}

interface Machine {
  /** Memory that the process may use, in units of 1,024 x 1,024 bytes (MiB). */
  readonly memoryMegabytes: number;
  /** File descriptors that the process may have open. */
  readonly descriptors: number;
}

interface Entry {
  bytes: number;
  readonly openedAt: number;
}

/** The memory of all requests of one daemon. */
export class RequestMemory {
  private readonly entries = new Set<Entry>();
  /** The requests whose bodies are being received, with what refuses them. */
  private readonly incomplete = new Map<Entry, () => void>();
  /** The requests whose bodies come in very many parts. */
  private readonly fragmented = new Set<Entry>();
  private total = 0;

  /**
   * @param now - Clock in milliseconds.
   * @param onRefused - Called for each request that finds no room.
   */
  constructor(
    private readonly limits: RequestMemoryLimits,
    private readonly now: () => number,
    private readonly onRefused: () => void = () => {},
  ) {}

  /** Returns the memory of the requests of a process with a machine of its own. */
  static forMachine({ memoryMegabytes, descriptors }: Machine, now: () => number): RequestMemory {
    const totalBytes = memoryMegabytes * MEGABYTE * MEMORY_SHARE;
    const { requests } = descriptorLimitsFor(descriptors);
    return new RequestMemory({ totalBytes, requests }, now);
  }

  /** Bytes that all requests take. */
  get heldBytes(): number {
    return this.total;
  }

  /** Largest body for which there is room while no other request is open, in bytes, whatever its head and trailers. */
  get maxBodyBytes(): number {
    return Math.floor(this.limits.totalBytes) - MAX_FIELD_BYTES - REQUEST_OVERHEAD_BYTES;
  }

  /** Bytes for which there is room. */
  get freeBytes(): number {
    return Math.max(0, this.limits.totalBytes - this.total);
  }

  get state(): RequestMemoryState {
    return {
      heldBytes: this.total,
      limitBytes: this.limits.totalBytes,
      requests: this.entries.size,
    };
  }

  /**
   * Opens the account of a request whose head was read. Returns undefined if there is no room: the request is to be refused.
   *
   * @param trailerBytes - Most bytes of trailers that may come behind the body: they are reserved until the body is complete.
   */
  open(headBytes: number, trailerBytes = 0): RequestReservation | undefined {
    const entry: Entry = { bytes: 0, openedAt: this.now() };
    this.entries.add(entry);
    const headEntryBytes = headBytes + REQUEST_OVERHEAD_BYTES;
    const fixedBytes = headEntryBytes + trailerBytes;
    if (!this.record(entry, fixedBytes)) {
      this.release(entry);
      return undefined;
    }
    return {
      beginBody: (refuse) => void this.incomplete.set(entry, refuse),
      record: (bytes) => this.record(entry, fixedBytes + bytes),
      beginFragmented: () => this.beginFragmented(entry),
      complete: () => this.complete(entry, trailerBytes),
      release: () => this.release(entry),
    };
  }

  private beginFragmented(entry: Entry): boolean {
    if (!this.entries.has(entry)) return false;
    if (this.fragmented.size >= MAX_FRAGMENTED_BODIES) {
      this.onRefused();
      return false;
    }
    this.fragmented.add(entry);
    return true;
  }

  private complete(entry: Entry, trailerBytes: number): void {
    this.fragmented.delete(entry);
    if (!this.incomplete.delete(entry)) return;
    entry.bytes -= trailerBytes;
    this.total -= trailerBytes;
  }

  /** Refuses the request that would be refused next. Returns false if all are complete. */
  refuseOne(): boolean {
    const victim = this.mostCostly();
    if (victim !== undefined) this.refuse(victim);
    return victim !== undefined;
  }

  private record(entry: Entry, bytes: number): boolean {
    if (!this.entries.has(entry)) return false;
    if (bytes === entry.bytes) return true;
    this.total += bytes - entry.bytes;
    entry.bytes = bytes;
    while (!this.hasRoomFor(entry)) {
      const victim = this.mostCostly();
      if (victim === undefined || victim === entry) {
        this.onRefused();
        return false;
      }
      this.refuse(victim);
    }
    return true;
  }

  private hasRoomFor(entry: Entry): boolean {
    return this.total <= this.limitFor(entry) && this.entries.size <= this.limits.requests;
  }

  private refuse(victim: Entry): void {
    const refuse = this.incomplete.get(victim);
    this.release(victim);
    this.onRefused();
    refuse?.();
  }

  private limitFor({ bytes }: Entry): number {
    const { totalBytes } = this.limits;
    const isSmall = bytes - REQUEST_OVERHEAD_BYTES <= totalBytes * SMALL_REQUEST_SHARE;
    const isAlone = this.total - bytes <= totalBytes * (1 - LARGE_REQUEST_SHARE);
    return isSmall || isAlone ? totalBytes : totalBytes * LARGE_REQUEST_SHARE;
  }

  private release(entry: Entry): void {
    if (!this.entries.delete(entry)) return;
    this.incomplete.delete(entry);
    this.fragmented.delete(entry);
    this.total -= entry.bytes;
  }

  /** The incomplete request that has taken the most memory for the longest time; undefined if all are complete. */
  private mostCostly(): Entry | undefined {
    const now = this.now();
    let mostCostly: Entry | undefined;
    let highestCost = -1;
    for (const entry of this.incomplete.keys()) {
      const cost = entry.bytes * (now - entry.openedAt);
      if (cost <= highestCost) continue;
      highestCost = cost;
      mostCostly = entry;
    }
    return mostCostly;
  }
}
