/** The ports on which a gateway daemon tells the entry whether it is ready, and an operator its metrics. */
import http from 'node:http';
import type { Registry } from 'prom-client';
import { splitAddress } from '../common/http-client.js';
import { listen } from '../common/http-server.js';
import type { GatewaySettings } from './gateway-settings.js';

/** Options of {@link StatusPorts}. */
export interface StatusPortsOptions {
  readonly settings: Pick<GatewaySettings, 'readiness' | 'address' | 'metricsPort'>;
  /** Path at which the entry asks. */
  readonly readinessPath: string;
  /** Whether new connections are wanted. */
  readonly isReady: () => boolean;
  readonly registry: Registry;
  /** Sets the metrics that are worked out when they are asked for. */
  readonly refreshMetrics: () => void;
}

/** Both ports. */
export class StatusPorts {
  private readonly readiness: http.Server;
  private readonly metrics: http.Server;

  constructor(private readonly options: StatusPortsOptions) {
    this.readiness = http.createServer((request, response) => {
      this.answerReadiness(request, response);
    });
    this.metrics = http.createServer((_request, response) => void this.answerMetrics(response));
  }

  async start(): Promise<void> {
    const { readiness, address, metricsPort } = this.options.settings;
    const [host, port] = splitAddress(readiness);
    await listen(this.readiness, host, port);
    if (metricsPort > 0) await listen(this.metrics, address, metricsPort);
  }

  stop(): void {
    this.readiness.close();
    this.metrics.close();
  }

  private answerReadiness(request: http.IncomingMessage, response: http.ServerResponse): void {
    const { readinessPath, isReady } = this.options;
    const asked = request.url === readinessPath;
    response.writeHead(asked && isReady() ? 200 : asked ? 503 : 404, { 'content-length': 0 });
    response.end();
  }

  private async answerMetrics(response: http.ServerResponse): Promise<void> {
    const { registry, refreshMetrics } = this.options;
    refreshMetrics();
    const text = await registry.metrics();
    response.writeHead(200, { 'content-type': registry.contentType });
    response.end(text);
  }
}
