/**
 * How a daemon comes by a configuration that a peer has and it has not: from that
 * peer, and from the platform's store only if that fails. So a change costs the
 * store no call a daemon, and reaches daemons that the store turns away.
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

/** Between two questions for a newer configuration; peers name its version as often, or more. */
const QUESTION_PERIOD_MS = 500;

/** Options of {@link ConfigurationExchange}. */
export interface ConfigurationExchangeOptions {
  readonly directory: PlatformDirectory;
  readonly logger: Logger;
  /** The newest version that this daemon has in force; 0 for none. */
  readonly version: () => number;
  readonly send: (to: string, body: PeerBody) => void;
}

/** One daemon's questions and answers. */
export class ConfigurationExchange {
  private askedAt = -Infinity;
  /** The version that the store was asked for with the last question; undefined if a peer was asked. */
  private storeAskedFor: number | undefined;
  /** The newest version that a peer was asked for. */
  private askedVersion = 0;

  constructor(private readonly options: ConfigurationExchangeOptions) {}

  /** A peer has a configuration in force. */
  hearVersion(from: string, version: number): void {
    const { directory, logger, send } = this.options;
    const knownVersion = this.options.version();
    const now = steadyNow();
    if (version <= knownVersion || now - this.askedAt < QUESTION_PERIOD_MS) return;
    this.askedAt = now;
    const isPeerAsked = version > this.askedVersion || this.storeAskedFor === version;
    const asked = isPeerAsked ? from : 'store';
    logger.info('configuration_asked', { version, known: knownVersion, asked });
    // The peer has not answered in a period, or lost it again: the store has it for certain. It may turn
    // this daemon away, so the question after that goes to a peer again.
    this.storeAskedFor = isPeerAsked ? undefined : version;
    if (!isPeerAsked) return directory.refreshConfiguration();
    this.askedVersion = version;
    const value = create(ConfigurationRequestSchema, { knownVersion });
    send(from, { case: 'configurationRequest', value });
  }

  /** Handles a message of the exchange; false if it is another kind. */
  receive(from: string, body: PeerBody): boolean {
    if (body.case === 'configurationRequest') {
      this.answer(from, body.value.knownVersion);
      return true;
    }
    if (body.case !== 'configurationDocument') return false;
    this.options.directory.takeConfigurationDocument(body.value.document);
    return true;
  }

  private answer(to: string, knownVersion: number): void {
    const document = this.options.directory.configurationDocument();
    if (document === undefined || this.options.version() <= knownVersion) return;
    const value = create(ConfigurationDocumentSchema, { document });
    this.options.send(to, { case: 'configurationDocument', value });
  }
}
