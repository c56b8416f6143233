/**
 * Fetches a newer configuration from the peer that announced it, and from the platform's
 * store only if that fails. A configuration change therefore does not cost one store call
 * per daemon, and it also reaches daemons whose requests the store rejects.
 */
import { create } from '@bufbuild/protobuf';
import type { Logger } from '../common/logger.js';
import type { PeerBody } from '../daemon/peer-transport.js';
import {
  ConfigurationDocumentSchema,
  ConfigurationRequestSchema,
} from '../proto/gen/internal_pb.js';
import type { PlatformDirectory } from './ports.js';
import { steadyNow } from './steady-clock.js';

/** Minimum time between two requests for a newer configuration. Peers announce its version at least as often. */
const REQUEST_PERIOD_MS = 500;

/** Options of {@link ConfigurationExchange}. */
export interface ConfigurationExchangeOptions {
  readonly directory: PlatformDirectory;
  readonly logger: Logger;
  /** The newest version that this daemon has in force; 0 for none. */
  readonly version: () => number;
  readonly send: (to: string, body: PeerBody) => void;
}

/** Requests newer configurations for one daemon, and replies to the requests of its peers. */
export class ConfigurationExchange {
  private requestedAt = -Infinity;
  /** The version that the last request asked the store for; undefined if the request went to a peer. */
  private versionRequestedFromStore: number | undefined;
  /** The newest version requested from a peer. */
  private versionRequestedFromPeer = 0;

  constructor(private readonly options: ConfigurationExchangeOptions) {}

  /** Handles a peer's announcement of the version that it has in force. Requests that configuration if it is newer. */
  onPeerVersion(from: string, version: number): void {
    const { directory, logger, send } = this.options;
    const knownVersion = this.options.version();
    const now = steadyNow();
    if (version <= knownVersion || now - this.requestedAt < REQUEST_PERIOD_MS) return;
    this.requestedAt = now;
    const usesPeer =
      version > this.versionRequestedFromPeer || this.versionRequestedFromStore === version;
    const asked = usesPeer ? from : 'store';
    logger.info('configuration_asked', { version, known: knownVersion, asked });
    // A second request for a version goes to the store, which certainly has it: the peer did not reply
    // within a period, or has lost it. The store may reject this daemon, so the request after that goes
    // to a peer again.
    this.versionRequestedFromStore = usesPeer ? undefined : version;
    if (!usesPeer) return directory.refreshConfiguration();
    this.versionRequestedFromPeer = version;
    const value = create(ConfigurationRequestSchema, { knownVersion });
    send(from, { case: 'configurationRequest', value });
  }

  /** Handles a message of the exchange. Returns false if the message is of another kind. */
  receive(from: string, body: PeerBody): boolean {
    if (body.case === 'configurationRequest') {
      this.reply(from, body.value.knownVersion);
      return true;
    }
    if (body.case !== 'configurationDocument') return false;
    this.options.directory.applyConfigurationDocument(body.value.document);
    return true;
  }

  private reply(to: string, knownVersion: number): void {
    const document = this.options.directory.configurationDocument();
    if (document === undefined || this.options.version() <= knownVersion) return;
    const value = create(ConfigurationDocumentSchema, { document });
    this.options.send(to, { case: 'configurationDocument', value });
  }
}
