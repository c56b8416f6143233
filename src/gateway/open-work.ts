/** The work of one gateway daemon that a graceful stop waits for. */
import type { BackendAccess } from './backend-access.js';
import type { CallerServer } from './caller-server.js';
import type { GatewayContext } from './gateway-context.js';

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
  readonly callers: () => Pick<CallerServer, 'receiving' | 'closeIdle' | 'refuseReceiving'>;
  readonly access: Pick<BackendAccess, 'activeRelays'>;
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

  /** Closes the callers' connections without a request. Returns whether no work is left. */
  closeIdle(): boolean {
    const areCallersServed = this.options.callers().closeIdle();
    return areCallersServed && this.options.access.activeRelays === 0;
  }

  /** Ends the callers' requests because the daemon stops. Returns the number of those that had begun. */
  interrupt(): number {
    this.options.callers().refuseReceiving();
    const interrupted = [...this.options.context().exchanges];
    for (const exchange of interrupted) exchange.interrupt();
    return interrupted.length;
  }
}
