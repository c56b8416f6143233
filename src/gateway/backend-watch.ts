/**
 * Observes this daemon's connections to backends, probes backends that may be unreachable, and logs what
 * {@link BackendReachability} concludes.
 */
import net, { type Socket } from 'node:net';
import { splitAddress } from '../common/http-client.js';
import type { Logger } from '../common/logger.js';
import { BackendReachability, type ReachabilityChange } from '../core/backend-reachability.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import { steadyNow } from './steady-clock.js';

/** Time after which a connection that has not opened counts as failed, in milliseconds. */
const CONNECT_TIMEOUT_MS = 350;

/** Options of {@link BackendWatch}. */
export interface BackendWatchOptions {
  readonly logger: Logger;
  readonly metrics: Pick<GatewayMetrics, 'unreachableBackends' | 'backendProbes'>;
  /** Called when a conclusion has changed. */
  readonly onChange: () => void;
}

/** Reports what one exchange with a backend shows about the connection. */
export interface ExchangeObserver {
  /** The request was written to an open connection. */
  sent(): void;
  received(): void;
  /** The exchange has ended, whether or not {@link sent} was called. */
  ended(): void;
}

/** The backends that this daemon reaches, by "ip:port". */
export class BackendWatch {
  readonly reachability = new BackendReachability();
  private readonly probes = new Set<Socket>();

  constructor(private readonly options: BackendWatchOptions) {}

  /** Sets the addresses of all listed backends. */
  setListed(addresses: readonly string[]): void {
    this.reachability.setListed(addresses);
  }

  /** Starts probes that are due; call it several times a second. */
  tick(): void {
    for (const address of this.reachability.probesDue(steadyNow())) this.probe(address);
    this.reportChanges();
    this.options.metrics.unreachableBackends.set(this.reachability.unreachableCount);
  }

  /** Closes open probes. */
  stop(): void {
    for (const socket of this.probes) socket.destroy();
  }

  /** Observes a connection that is being opened. */
  observeConnection(address: string, socket: Socket): void {
    const startedAt = steadyNow();
    let state: 'opening' | 'opened' | 'failed' = 'opening';
    socket.once('connect', () => {
      state = 'opened';
      this.reachability.recordConnected(address, steadyNow());
      this.reportChanges();
    });
    socket.once('error', () => {
      if (state === 'opening') state = 'failed';
    });
    socket.once('close', () => {
      // A caller that leaves closes a connection that might still have opened.
      const hasTimedOut = steadyNow() - startedAt >= CONNECT_TIMEOUT_MS;
      if (state === 'failed' || (state === 'opening' && hasTimedOut)) this.failed(address);
    });
  }

  /** Observes one exchange with the backend at an address. */
  observeExchange(address: string): ExchangeObserver {
    let isSent = false;
    return {
      sent: () => {
        if (!isSent) this.reachability.recordSent(address, steadyNow());
        isSent = true;
      },
      received: () => this.reachability.recordReceived(address, steadyNow()),
      ended: () => {
        if (isSent) this.reachability.recordEnded(address);
        isSent = false;
      },
    };
  }

  private failed(address: string): void {
    this.reachability.recordConnectionFailure(address, steadyNow());
    this.reportChanges();
  }

  private probe(address: string): void {
    const [host, port] = splitAddress(address);
    const socket = net.connect({ host, port, timeout: CONNECT_TIMEOUT_MS });
    this.probes.add(socket);
    this.options.metrics.backendProbes.inc();
    this.observeConnection(address, socket);
    socket.once('connect', () => socket.destroy());
    socket.once('timeout', () => socket.destroy(new Error('connection timed out')));
    socket.once('error', () => {});
    socket.once('close', () => this.probes.delete(socket));
  }

  private reportChanges(): void {
    const changes = this.reachability.takeChanges();
    for (const change of changes) this.log(change);
    if (changes.length > 0) this.options.onChange();
  }

  private log(change: ReachabilityChange): void {
    const { logger } = this.options;
    const unreachable = this.reachability.unreachableCount;
    switch (change.type) {
      case 'backend_unreachable':
        return logger.warn(change.type, {
          address: change.backend,
          silentMs: rounded(change.silentMs),
          unreachable,
        });
      case 'backend_reachable':
        return logger.info(change.type, {
          address: change.backend,
          afterMs: rounded(change.afterMs),
          unreachable,
        });
      case 'partitioned':
        return logger.warn('backends_partitioned', {
          unreachable: change.unreachable,
          silentMs: rounded(change.silentMs),
        });
      case 'partition_ended':
        return logger.info('backends_partition_ended', {
          address: change.backend,
          afterMs: rounded(change.afterMs),
        });
    }
  }
}

/** Rounds to whole milliseconds; undefined for an infinite time. */
function rounded(milliseconds: number): number | undefined {
  return Number.isFinite(milliseconds) ? Math.round(milliseconds) : undefined;
}
