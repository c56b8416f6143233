/**
 * Reports unexpected exceptions. Each is a defect of this program that has ended one piece of work; it is logged
 * with its stack and counted, so that it does not go unseen although the process goes on.
 */
import { FaultBoundary } from '../common/fault-boundary.js';
import { faultText, type LogFields, type Logger } from '../common/logger.js';
import type { PeerHandler } from '../daemon/peer-transport.js';
import type { GatewayMetrics } from './gateway-metrics.js';

/** What an exception has ended. */
export type FaultScope =
  /** A caller's request. */
  | 'request'
  /** A request that this daemon relayed for another one. */
  | 'relayed_request'
  /** The handling of another daemon's message. */
  | 'message'
  /** One round of the periodic work. */
  | 'tick';

/** The work that a boundary protects. */
export interface GuardedWork {
  /** Describes the work in log lines. */
  readonly fields: () => LogFields;
  /** Ends the work after an exception with what is true about it. */
  readonly end: () => void;
  /** Ends the work without a word, for use if {@link end} throws too. */
  readonly abandon: () => void;
}

/** Reports the unexpected exceptions of one daemon. */
export class FaultRecorder {
  constructor(
    private readonly logger: Logger,
    private readonly metrics: Pick<GatewayMetrics, 'faults'>,
  ) {}

  /** Logs and counts an exception. */
  record(scope: FaultScope, fault: unknown, fields: LogFields = {}): void {
    this.metrics.faults.inc({ scope });
    this.logger.error(`${scope}_fault`, { ...fields, reason: faultText(fault) });
  }

  /** Returns a handler of other daemons' messages whose exceptions end neither this daemon nor the next messages. */
  guardMessages(handle: PeerHandler): PeerHandler {
    return (from, body) => {
      const fields = { from, message: body.case };
      const boundary = new FaultBoundary((fault) => this.record('message', fault, fields));
      boundary.run(() => handle(from, body));
    };
  }

  /** Returns a boundary that records each exception and ends the work that it protects. */
  boundaryOf(scope: FaultScope, { fields, end, abandon }: GuardedWork): FaultBoundary {
    return new FaultBoundary((fault) => {
      this.record(scope, fault, fields());
      try {
        end();
      } catch (second) {
        this.record(scope, second, fields());
        abandon();
      }
    });
  }
}
