/** The work of one gateway daemon that a graceful stop waits for. */
import type { BackendAccess } from './backend-access.js';
import type { CallerServer } from './caller-server.js';
import type { GatewayContext } from './gateway-context.js';
import type { StreamOriginExchange } from './stream-origin-exchange.js';

/** Number of pieces of work of each kind. */
export interface OpenWorkCounts {
  /** Requests of callers that have begun. */
  readonly unfinished: number;
  /** Requests of callers whose head was read and that have not begun. */
  readonly receiving: number;
  /** Requests relayed for other daemons. */
  readonly relaying: number;
  /** Callers that have not read all bytes written to them. */
  readonly unreadCallers: number;
}

/** Options of {@link OpenWork}. */
export interface OpenWorkOptions {
  readonly context: () => Pick<GatewayContext, 'answers' | 'exchanges'>;
  readonly callers: () => Pick<CallerServer, 'receiving' | 'closeIdle'>;
  readonly access: Pick<BackendAccess, 'activeRelays'>;
  readonly streamOrigins: Pick<StreamOriginExchange, 'isLookingUp'>;
}

/** All work that has not ended. */
export class OpenWork {
  constructor(private readonly options: OpenWorkOptions) {}

  /** Counts the work. */
  counts(): OpenWorkCounts {
    const { answers, exchanges } = this.options.context();
    return {
      unfinished: exchanges.size,
      receiving: this.options.callers().receiving,
      relaying: this.options.access.activeRelays,
      unreadCallers: answers.unreadCallers,
    };
  }

  /** Returns whether all work has ended, and closes the callers' connections without work. */
  closeIdle(): boolean {
    const { answers, exchanges } = this.options.context();
    // Node treats a connection as idle once its answer is written, although the caller has not read it yet.
    if (answers.unreadCallers > 0) return false;
    this.options.callers().closeIdle();
    if (this.options.streamOrigins.isLookingUp) return false;
    return exchanges.size === 0 && this.options.access.activeRelays === 0;
  }

  /** Ends the callers' requests because the daemon stops. Returns their number. */
  interrupt(): number {
    const interrupted = [...this.options.context().exchanges];
    for (const exchange of interrupted) exchange.interrupt();
    return interrupted.length;
  }
}
