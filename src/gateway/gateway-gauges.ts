/** Updates the metrics that are computed only when they are scraped. */
import { getHeapStatistics } from 'node:v8';
import type { TransportCounts } from '../daemon/peer-transport.js';
import type { GatewayContext } from './gateway-context.js';
import type { GatewayMetrics } from './gateway-metrics.js';

/** State of one daemon at the time of a scrape. */
export interface GaugeInputs {
  readonly context: Pick<GatewayContext, 'answers' | 'requestMemory' | 'exchanges'>;
  /** Streams whose origin is recorded. */
  readonly rememberedStreams: number;
  /** Milliseconds since the configuration was proved current; infinite if it never was. */
  readonly leaseAgeMs: number;
  /** Traffic with the other daemons since the start. */
  readonly traffic: Readonly<TransportCounts>;
}

/** Sets the gauges. */
export function refreshGauges(
  {
    heldBytes,
    requestBytes,
    inFlight,
    rememberedStreams,
    configurationAge,
    controlBytes,
    heapBytes,
  }: GatewayMetrics,
  inputs: GaugeInputs,
): void {
  const { context, leaseAgeMs, traffic } = inputs;
  heldBytes.set(context.answers.heldBytes + context.requestMemory.heldBytes);
  requestBytes.set(context.requestMemory.heldBytes);
  inFlight.set(context.exchanges.size);
  rememberedStreams.set(inputs.rememberedStreams);
  configurationAge.set(Number.isFinite(leaseAgeMs) ? leaseAgeMs / 1_000 : -1);
  const heap = getHeapStatistics();
  heapBytes.set({ kind: 'used' }, heap.used_heap_size);
  heapBytes.set({ kind: 'limit' }, heap.heap_size_limit);
  controlBytes.set({ direction: 'sent' }, traffic.bytesSent);
  controlBytes.set({ direction: 'received' }, traffic.bytesReceived);
}
