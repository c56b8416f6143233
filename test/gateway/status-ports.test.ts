import http from 'node:http';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { silentLogger } from '../../src/common/logger.js';
import { GatewayMetrics } from '../../src/gateway/gateway-metrics.js';
import { StatusPorts } from '../../src/gateway/status-ports.js';
import { findFreePorts } from '../../src/testbed/free-ports.js';

const DIGEST = 'a'.repeat(32);

describe('the readiness port and the metrics port', () => {
  let ports: StatusPorts;
  let metricsPort: number;
  let readinessPort: number;
  let isReady = false;

  beforeEach(async () => {
    [metricsPort = 0, readinessPort = 0] = await findFreePorts(2);
    const readiness = `127.0.0.1:${readinessPort}`;
    ports = new StatusPorts({
      settings: { readiness, address: '127.0.0.1', metricsPort },
      readinessPath: '/ready',
      isReady: () => isReady,
      metrics: new GatewayMetrics(),
      refreshMetrics: () => {},
      crashes: {
        refusedRequests: () => [{ digest: DIGEST, depth: 0, starts: ['b'], excused: [], ageMs: 5 }],
        lift: (digest) => digest === DIGEST,
      },
      logger: silentLogger,
    });
    await ports.start();
  });
  afterEach(() => ports.stop());

  function send(port: number, path: string, method = 'GET'): Promise<[number, string]> {
    return new Promise((resolve, reject) => {
      const request = http.request({ host: '127.0.0.1', port, path, method, agent: false });
      request.on('error', reject);
      request.on('response', (response) => {
        let body = '';
        response.on('data', (chunk: Buffer) => (body += chunk.toString()));
        response.on('end', () => resolve([response.statusCode ?? 0, body]));
      });
      request.end();
    });
  }

  it('report to the load balancer whether the daemon accepts new connections', async () => {
    expect((await send(readinessPort, '/ready'))[0]).toBe(503);
    isReady = true;
    expect((await send(readinessPort, '/ready'))[0]).toBe(200);
    expect((await send(readinessPort, '/other'))[0]).toBe(404);
  });

  it('list requests that are refused because of crashes, and allow one again', async () => {
    const [status, body] = await send(metricsPort, '/crashing-requests');
    expect(status).toBe(200);
    expect(JSON.parse(body)).toMatchObject([{ digest: DIGEST }]);
    expect((await send(metricsPort, `/crashing-requests/${DIGEST}`, 'DELETE'))[0]).toBe(200);
    expect((await send(metricsPort, '/crashing-requests/b', 'DELETE'))[0]).toBe(404);
    expect((await send(metricsPort, '/crashing-requests', 'POST'))[0]).toBe(405);
    expect((await send(metricsPort, '/metrics'))[0]).toBe(200);
  });
});
