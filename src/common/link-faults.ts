/**
 * Switchable network faults at the edge of a process, for failure tests.
 * A blocked link swallows bytes in one direction, as a cut network does; it
 * answers nothing and closes nothing. Empty in production.
 */

/** Addresses ("ip:port") towards and from which nothing passes. */
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

  /** Whether bytes to the address are lost. */
  blocksOutbound(address: string): boolean {
    return this.outbound.size > 0 && this.outbound.has(address);
  }

  /** Whether bytes from the address are lost. */
  blocksInbound(address: string): boolean {
    return this.inbound.size > 0 && this.inbound.has(address);
  }
}
