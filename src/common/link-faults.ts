/**
 * Injected network faults of a process, for failure tests. A blocked link drops
 * all bytes in one direction like a network partition; it sends no error and
 * closes no connection. No link is blocked in production.
 */

/** Blocked peers ("ip:port") for each direction. */
export class LinkFaults {
  private readonly outbound = new Set<string>();
  private readonly inbound = new Set<string>();

  /** Replaces both sets. */
  set(outbound: readonly string[], inbound: readonly string[]): void {
    this.outbound.clear();
    this.inbound.clear();
    for (const address of outbound) this.outbound.add(address);
    for (const address of inbound) this.inbound.add(address);
  }

  /** Whether bytes to the address are dropped. */
  blocksOutbound(address: string): boolean {
    return this.outbound.size > 0 && this.outbound.has(address);
  }

  /** Whether bytes from the address are dropped. */
  blocksInbound(address: string): boolean {
    return this.inbound.size > 0 && this.inbound.has(address);
  }
}
