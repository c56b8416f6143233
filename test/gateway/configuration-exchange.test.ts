import { create } from '@bufbuild/protobuf';
import { describe, expect, it } from 'vitest';
import { silentLogger } from '../../src/common/logger.js';
import { sleep } from '../../src/common/process.js';
import type { PeerBody } from '../../src/daemon/peer-transport.js';
import { ConfigurationExchange } from '../../src/gateway/configuration-exchange.js';
import type { PlatformDirectory } from '../../src/gateway/ports.js';
import {
  ConfigurationDocumentSchema,
  ConfigurationRequestSchema,
} from '../../src/proto/gen/internal_pb.js';

/** One daemon whose configuration documents consist of one byte, the version. */
class Daemon {
  version = 0;
  refreshes = 0;
  readonly sent: { readonly to: string; readonly body: PeerBody }[] = [];
  readonly exchange: ConfigurationExchange;

  constructor() {
    const directory: PlatformDirectory = {
      start: () => {},
      setReadMode: () => {},
      lastReadAgeMs: () => 0,
      refreshConfiguration: () => (this.refreshes += 1),
      confirmConfiguration: () => Promise.resolve(true),
      confirmDirectory: () => Promise.resolve(true),
      configurationDocument: () => (this.version === 0 ? undefined : Uint8Array.of(this.version)),
      applyConfigurationDocument: ([version = 0]) => {
        if (version <= this.version) return false;
        this.version = version;
        return true;
      },
      stop: () => {},
    };
    this.exchange = new ConfigurationExchange({
      directory,
      logger: silentLogger,
      version: () => this.version,
      send: (to, body) => this.sent.push({ to, body }),
    });
  }
}

function requestFrom(knownVersion: number): PeerBody {
  return {
    case: 'configurationRequest',
    value: create(ConfigurationRequestSchema, { knownVersion }),
  };
}

describe('ConfigurationExchange', () => {
  it('fetches a newer configuration from the peer that announced it, without a store call', () => {
    const reader = new Daemon();
    const daemon = new Daemon();
    reader.version = 7;
    daemon.version = 5;
    daemon.exchange.onPeerVersion('reader', 7);
    const [request] = daemon.sent;
    if (request === undefined) throw new Error('the daemon sent no configuration request');
    expect(request.to).toBe('reader');
    reader.exchange.receive('daemon', request.body);
    for (const { body } of reader.sent) daemon.exchange.receive('reader', body);
    expect(daemon.version).toBe(7);
    expect(daemon.refreshes).toBe(0);
  });

  it('requests the configuration from the store after the peer timed out, and sends no request before', async () => {
    const daemon = new Daemon();
    daemon.exchange.onPeerVersion('reader', 7);
    daemon.exchange.onPeerVersion('reader', 7);
    expect([daemon.sent.length, daemon.refreshes]).toEqual([1, 0]);
    await sleep(520);
    daemon.exchange.onPeerVersion('other', 7);
    expect([daemon.sent.length, daemon.refreshes]).toEqual([1, 1]);
  });

  it('sends a request to a peer again if neither the first peer nor the store supplied the configuration', async () => {
    const daemon = new Daemon();
    for (const from of ['reader', 'other', 'other']) {
      daemon.exchange.onPeerVersion(from, 7);
      await sleep(520);
    }
    expect(daemon.refreshes).toBe(1);
    expect(daemon.sent.map(({ to }) => to)).toEqual(['reader', 'other']);
  });

  it('sends another peer request if an even newer version is announced', async () => {
    const daemon = new Daemon();
    daemon.exchange.onPeerVersion('reader', 7);
    await sleep(520);
    daemon.exchange.onPeerVersion('other', 8);
    expect(daemon.sent.map(({ to }) => to)).toEqual(['reader', 'other']);
    expect(daemon.refreshes).toBe(0);
  });

  it('ignores a late document with an older version, and replies only with a newer configuration', () => {
    const daemon = new Daemon();
    daemon.version = 7;
    const value = create(ConfigurationDocumentSchema, { document: Uint8Array.of(6) });
    daemon.exchange.receive('reader', { case: 'configurationDocument', value });
    expect(daemon.version).toBe(7);
    daemon.exchange.receive('reader', requestFrom(7));
    expect(daemon.sent).toEqual([]);
    daemon.exchange.receive('reader', requestFrom(6));
    expect(daemon.sent).toHaveLength(1);
  });
});
