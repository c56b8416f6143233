/** How one daemon reaches backends: its own connections, the relays of other daemons, and its relay for them. */
import type { Logger } from '../common/logger.js';
import type { BackendDirectory } from '../core/backend-directory.js';
import type { RequestMemory } from '../core/request-memory.js';
import type { BackendAgent } from './backend-agent.js';
import { BackendPaths } from './backend-paths.js';
import { BackendWatch } from './backend-watch.js';
import type { CrashTracker } from './crash-tracker.js';
import type { FaultRecorder } from './fault-recorder.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import type { GatewaySettings } from './gateway-settings.js';
import type { PeerGroup } from './peer-group.js';
import type { RequestDialect } from './ports.js';
import { RELAY_PORT_OFFSET } from './relay-protocol.js';
import { ServiceAccess } from './service-access.js';
import { RelayServer } from './relay-server.js';

/** Options of {@link BackendAccess}. */
export interface BackendAccessOptions {
  readonly settings: Pick<
    GatewaySettings,
    'address' | 'peerPort' | 'zone' | 'processorShare' | 'processorSpeed'
  >;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  readonly directory: BackendDirectory;
  readonly dialect: RequestDialect;
  readonly agent: BackendAgent;
  readonly peers: PeerGroup;
  readonly crashes: () => CrashTracker;
  readonly requestMemory: RequestMemory;
  readonly faults: FaultRecorder;
  readonly isDraining: () => boolean;
  /** Called when no backend can be reached any more. */
  readonly onPartitioned: () => void;
  /** Called after any change of what is reached. */
  readonly onChange: () => void;
}

/** The connections and relays of one daemon. */
export class BackendAccess {
  readonly watch: BackendWatch;
  readonly paths: BackendPaths;
  readonly services: ServiceAccess;
  private readonly relayServer: RelayServer;

  constructor(options: BackendAccessOptions) {
    const { settings, logger, metrics, agent, peers, directory, dialect } = options;
    this.watch = new BackendWatch({
      logger,
      metrics,
      onUnreachable: (address) => agent.dropIdle(address),
      onPartitioned: () => {
        agent.dropAllIdle();
        options.onPartitioned();
      },
      onChange: options.onChange,
    });
    agent.observeConnections((address, socket) => this.watch.observeConnection(address, socket));
    this.paths = new BackendPaths({
      self: peers.address,
      zone: settings.zone,
      watch: this.watch,
      live: () => peers.live(),
    });
    this.services = new ServiceAccess({ directory, watch: this.watch, paths: this.paths });
    this.relayServer = new RelayServer({
      host: settings.address,
      port: settings.peerPort + RELAY_PORT_OFFSET,
      capacity: settings.processorShare * settings.processorSpeed,
      logger,
      metrics,
      directory,
      dialect,
      agent,
      faults: options.faults,
      watch: this.watch,
      requestMemory: options.requestMemory,
      isMember: (host) => peers.isMemberHost(host),
      isDraining: options.isDraining,
      hasEnded: (backend) => options.crashes().hasEnded(backend),
    });
  }

  /** Number of requests that are being relayed for other daemons. */
  get activeRelays(): number {
    return this.relayServer.active;
  }

  async start(): Promise<void> {
    await this.relayServer.start();
  }

  /** Starts probes that are due; call it several times a second. */
  tick(): void {
    this.watch.tick();
  }

  stop(): void {
    this.watch.stop();
    this.services.stop();
    this.relayServer.stop();
  }
}
