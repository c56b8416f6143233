/** Type declarations for the part of js-csp used here; the package contains none. */
declare module 'js-csp' {
  export interface Buffer {
    readonly kind?: string;
  }
  export interface Channel {
    close(): void;
    isClosed(): boolean;
  }
  export interface Instruction {
    readonly instruction?: string;
  }
  export interface AltResult {
    readonly value: unknown;
    readonly channel: Channel;
  }
  interface Csp {
    readonly CLOSED: null;
    readonly NO_VALUE: unknown;
    readonly buffers: { fixed(size: number): Buffer };
    chan(buffer?: Buffer | number): Channel;
    go(body: () => Generator<Instruction, void, unknown>): Channel;
    take(channel: Channel): Instruction;
    put(channel: Channel, value: unknown): Instruction;
    alts(operations: readonly Channel[], options?: { priority?: boolean }): Instruction;
    offer(channel: Channel, value: unknown): boolean;
    poll(channel: Channel): unknown;
    putAsync(channel: Channel, value: unknown): void;
    timeout(milliseconds: number): Channel;
  }
  const csp: Csp;
  export default csp;
}
