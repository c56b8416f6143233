/** Prometheus metrics of one daemon, in their own prom-client registry. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';

/** Histogram buckets for cold starts, in seconds. */
const COLD_START_BUCKETS = [0.1, 0.25, 0.5, 1, 2, 4, 8, 15, 30, 60, 120, 300];
/** Histogram buckets for the dispatch time of requests to warm tenants, in seconds. */
const DISPATCH_TIME_BUCKETS = [0.0005, 0.001, 0.002, 0.003, 0.005, 0.01, 0.05, 0.25];

/** All metrics of a daemon. */
export class DaemonMetrics {
  readonly registry = new Registry();
  readonly coldStarts = new Histogram({
    name: 'scaleslip_cold_start_seconds',
    help: 'Time that a request waited for a model to be loaded',
    labelNames: ['priority'],
    buckets: COLD_START_BUCKETS,
    registers: [this.registry],
  });
  readonly dispatchTime = new Histogram({
    name: 'scaleslip_dispatch_seconds',
    help: 'Time from arrival to the send to an engine, for warm tenants',
    buckets: DISPATCH_TIME_BUCKETS,
    registers: [this.registry],
  });
  readonly requests = new Counter({
    name: 'scaleslip_requests_total',
    help: 'Requests taken',
    labelNames: ['priority'],
    registers: [this.registry],
  });
  readonly refusals = new Counter({
    name: 'scaleslip_refusals_total',
    help: 'Refusals by error kind',
    labelNames: ['kind'],
    registers: [this.registry],
  });
  readonly closedConnections = new Counter({
    name: 'scaleslip_closed_connections_total',
    help: 'Connections of callers closed at a limit: connections, heads or pipelined',
    labelNames: ['limit'],
    registers: [this.registry],
  });
  readonly orders = new Counter({
    name: 'scaleslip_orders_total',
    help: 'Orders sent to engines, repeats included',
    labelNames: ['type'],
    registers: [this.registry],
  });
  readonly loads = new Counter({
    name: 'scaleslip_loads_total',
    help: 'Loads that have ended well, by the place of the checkpoint',
    labelNames: ['tier'],
    registers: [this.registry],
  });
  readonly idleSeconds = new Counter({
    name: 'scaleslip_idle_accelerator_seconds_total',
    help: 'Time that loaded replicas of owned pools have spent without a request',
    registers: [this.registry],
  });
  readonly waiting = new Gauge({
    name: 'scaleslip_waiting_requests',
    help: 'Requests waiting at this router',
    registers: [this.registry],
  });
  readonly unfinishedRequests = new Gauge({
    name: 'scaleslip_unfinished_requests',
    help: 'Requests that have not ended',
    registers: [this.registry],
  });
  readonly pools = new Gauge({
    name: 'scaleslip_owned_pools',
    help: 'Pools that this daemon owns',
    registers: [this.registry],
  });
  readonly configurationAge = new Gauge({
    name: 'scaleslip_configuration_age_seconds',
    help: "Time since the platform's last word that the configuration rests on; -1 for never",
    registers: [this.registry],
  });
  readonly controlBytes = new Gauge({
    name: 'scaleslip_control_bytes',
    help: 'Bytes of control traffic since the start',
    labelNames: ['direction'],
    registers: [this.registry],
  });
}
