/**
 * Observes this daemon's connections to backends, probes backends that may be unreachable, and logs what
 * {@link BackendReachability} concludes.
 */
import net, { type Socket } from 'node:net';
import { splitAddress } from '../common/http-client.js';
import type { Logger } from '../common/logger.js';
import { startReplyTimeout } from '../common/reply-timeout.js';
import { BackendReachability, type ReachabilityChange } from '../core/backend-reachability.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import { steadyNow } from './steady-clock.js';

/** Time after which a connection that has not opened counts as failed, in milliseconds. */
const CONNECT_TIMEOUT_MS = 350;

/** Maximum number of backends probed to find out which daemon reaches them. */
const MAX_COMPARED_BACKENDS = 4;

/** Result of probing some backends. */
export interface ProbeCount {
  readonly reached: number;
  readonly probed: number;
}

/** Options of {@link BackendWatch}. */
export interface BackendWatchOptions {
  readonly logger: Logger;
  readonly metrics: Pick<GatewayMetrics, 'unreachableBackends' | 'backendProbes'>;
  /** Called when an address can no longer be reached. */
  readonly onUnreachable: (address: string) => void;
  /** Called when no backend can be reached any more. */
  readonly onPartitioned: () => void;
  /** Called after any change. */
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

/** Observer for an exchange that shows nothing about this daemon's own connections. */
export const UNOBSERVED_EXCHANGE: ExchangeObserver = {
  sent: () => {},
  received: () => {},
  ended: () => {},
};

/** The backends that this daemon reaches, by "ip:port". */
export class BackendWatch {
  readonly reachability = new BackendReachability();
  private readonly probes = new Set<Socket>();
  private listed: readonly string[] = [];

  constructor(private readonly options: BackendWatchOptions) {}

  /** Sets the addresses of all listed backends. */
  setListed(addresses: readonly string[]): void {
    this.listed = addresses;
    this.reachability.setListed(addresses);
  }

  /** Starts probes that are due; call it several times a second. */
  tick(): void {
    for (const address of this.reachability.probesDue(steadyNow())) void this.probe(address);
    this.reportChanges();
    this.options.metrics.unreachableBackends.set(this.reachability.unreachableCount);
  }

  /** Probes a backend that has not answered, unless it was probed just before. */
  suspect(address: string): void {
    if (this.reachability.suspect(address, steadyNow())) void this.probe(address);
  }

  /** Closes open probes. */
  stop(): void {
    for (const socket of this.probes) socket.destroy();
  }

  /**
   * Probes a few of the addresses, because bytes that were received before prove nothing about this moment. Resolves with the number
   * of probes and of those that opened a connection.
   */
  async probeSome(addresses: readonly string[]): Promise<ProbeCount> {
    const offset = Math.floor(steadyNow()) % Math.max(1, addresses.length);
    const rotated = [...addresses.slice(offset), ...addresses.slice(0, offset)];
    const probes = rotated.slice(0, MAX_COMPARED_BACKENDS).map((address) => this.probe(address));
    const results = await Promise.all(probes);
    return { reached: results.filter((opened) => opened).length, probed: results.length };
  }

  /** Resolves with whether a listed backend other than the one at an address is reached; true if no other is listed. */
  async reachesOthers(address: string): Promise<boolean> {
    const others = this.listed.filter((other) => other !== address);
    if (others.length === 0) return true;
    return (await this.probeSome(others)).reached > 0;
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
    const fail = (): void => {
      if (state !== 'opening') return;
      state = 'failed';
      this.reachability.recordConnectionFailure(address, steadyNow());
      this.reportChanges();
    };
    socket.once('error', fail);
    socket.once('close', () => {
      // A caller that leaves closes a connection that might still have opened.
      if (steadyNow() - startedAt >= CONNECT_TIMEOUT_MS) fail();
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

  /** Opens and closes a connection; resolves with whether it opened. */
  private probe(address: string): Promise<boolean> {
    const [host, port] = splitAddress(address);
    const socket = net.connect({ host, port });
    const timeout = startReplyTimeout(CONNECT_TIMEOUT_MS, () => {
      socket.destroy(new Error('connection timed out'));
    });
    this.probes.add(socket);
    this.options.metrics.backendProbes.inc();
    this.observeConnection(address, socket);
    return new Promise((resolve) => {
      socket.once('connect', () => {
        resolve(true);
        socket.destroy();
      });
      socket.once('error', () => {});
      socket.once('close', () => {
        timeout.cancel();
        this.probes.delete(socket);
        resolve(false);
      });
    });
  }

  private reportChanges(): void {
    const changes = this.reachability.takeChanges();
    for (const change of changes) {
      this.log(change);
      if (change.type === 'backend_unreachable') {
        this.options.onUnreachable(change.backend);
        // Others are probed at once to tell a failed backend from a partition.
        setImmediate(() => this.tick());
      }
      if (change.type === 'partitioned') this.options.onPartitioned();
    }
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
