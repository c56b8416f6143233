/** Guards against requests that run although their callers were answered as if they had not been read. */
import type http from 'node:http';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { credentialHash } from '../../src/core/admission/api-keys.js';
import { silentLogger } from '../../src/common/logger.js';
import { CallerApi, type CallerApiOptions } from '../../src/daemon/caller-api.js';
import {
  DaemonHttpServer,
  type DaemonHttpServerOptions,
} from '../../src/daemon/daemon-http-server.js';
import { findFreePorts } from '../../src/testbed/free-ports.js';
import { pause } from '../gateway/gateway-harness.js';
import { RawCaller } from '../gateway/raw-caller.js';

/** A limit for a head or body, the server's interval of checks, and the time after which it has noticed. */
const LIMIT_MS = 200;
const CHECK_MS = 100;
const NOTICED_MS = LIMIT_MS + 400;
const BODY = JSON.stringify({ model: 'till', prompt: 'x' });
const HEAD =
  'POST /v1/completions HTTP/1.1\r\nhost: daemon.test\r\nauthorization: Bearer key\r\n' +
  `content-type: application/json\r\ncontent-length: ${BODY.length}\r\n\r\n`;

describe("a request to a daemon's caller API that could not be read", () => {
  let server: DaemonHttpServer;
  let caller: RawCaller;
  let submitted: number;
  let answer: () => void;

  beforeEach(async () => {
    submitted = 0;
    const spec = { name: 'till', keyHashes: [credentialHash('Bearer key', 'Bearer')] };
    const submit: CallerApiOptions['requests']['submit'] = ({ exchange }) => {
      submitted += 1;
      answer = () => exchange.finish('stop');
      return true;
    };
    const callerApi = new CallerApi({
      clock: { now: () => Date.now() },
      directory: { tenant: () => spec, tenantsWithKey: () => ['till'] },
      requests: { submit, callerDisconnected: () => {} },
      bodyLimitBytes: 10_000,
      notReadyError: () => undefined,
    } as unknown as CallerApiOptions);
    const [port = 0] = await findFreePorts(1);
    const limits = { requestMemoryBytes: 8 * 1024 * 1024, descriptors: 1_024 };
    const options = { host: '127.0.0.1', port, ...limits, logger: silentLogger, callerApi };
    server = new DaemonHttpServer({
      ...options,
      notReadyError: () => undefined,
    } as unknown as DaemonHttpServerOptions);
    const { server: inner } = server as unknown as { server: http.Server };
    Object.assign(inner, {
      headersTimeout: LIMIT_MS,
      requestTimeout: LIMIT_MS,
      connectionsCheckingInterval: CHECK_MS,
    });
    await server.start();
    caller = new RawCaller(`127.0.0.1:${port}`);
  });

  afterEach(() => {
    caller.close();
    server.kill();
  });

  it('runs if it comes in time', async () => {
    caller.write(HEAD + BODY);
    await pause(100);
    expect(submitted).toBe(1);
    answer();
    await caller.answered();
    expect(caller.status).toBe(200);
  });

  it('because its body came too late is answered with 408, and does not run when the body comes after all', async () => {
    caller.write(HEAD + BODY.slice(0, 5));
    await pause(NOTICED_MS);
    caller.write(BODY.slice(5));
    await pause(200);
    expect(submitted).toBe(0);
    expect(caller.status).toBe(408);
  });

  it('because its head came too late is answered with 408, and does not run when the head comes after all', async () => {
    caller.write(HEAD.slice(0, 60));
    await pause(NOTICED_MS);
    caller.write(HEAD.slice(60) + BODY);
    await pause(200);
    expect(submitted).toBe(0);
    expect(caller.status).toBe(408);
  });

  it('is not answered in place of a request that runs', async () => {
    caller.write(`${HEAD}${BODY}no request\r\n\r\n`);
    await pause(200);
    expect(submitted).toBe(1);
    answer();
    await caller.answered();
    expect(caller.status).toBe(200);
    expect(caller.received.match(/HTTP\/1\.1/g)).toHaveLength(1);
  });
});
