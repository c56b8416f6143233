/** Prometheus metrics of one gateway daemon, in a separate prom-client registry. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';

/** Histogram buckets for wait and response times, in seconds. */
const SECONDS_BUCKETS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1, 1.5, 2.5, 4, 6, 10, 25];

/** All metrics of a gateway daemon. */
export class GatewayMetrics {
  readonly registry = new Registry();
  readonly requests = new Counter({
    name: 'scaleslip_gateway_requests_total',
    help: 'Requests that have ended, by route and end',
    labelNames: ['route', 'end'],
    registers: [this.registry],
  });
  readonly waitSeconds = this.histogram('wait', 'Time until a backend was chosen');
  readonly firstPartSeconds = this.histogram('first_part', 'Time to the first part of the answer');
  readonly answerSeconds = this.histogram('answer', 'Time to the end of the answer');
  readonly retries = new Counter({
    name: 'scaleslip_gateway_retries_total',
    help: 'Repeated sends, granted (some of them unused) and denied',
    labelNames: ['granted'],
    registers: [this.registry],
  });
  readonly streamResumptions = new Counter({
    name: 'scaleslip_gateway_stream_resumptions_total',
    help: 'Streams that callers resume, by source of their software version: own, peer, sole_version or none',
    labelNames: ['source'],
    registers: [this.registry],
  });
  readonly rememberedStreams = new Gauge({
    name: 'scaleslip_gateway_remembered_streams',
    help: 'Streams whose origin this daemon has recorded',
    registers: [this.registry],
  });
  readonly orders = new Counter({
    name: 'scaleslip_gateway_orders_total',
    help: 'Orders to backends by outcome',
    labelNames: ['operation', 'outcome'],
    registers: [this.registry],
  });
  readonly backendRestarts = new Counter({
    name: 'scaleslip_gateway_backend_restarts_total',
    help: 'Backends that have ended and started again under the same id, as this daemon has noticed',
    registers: [this.registry],
  });
  readonly unreachableBackends = new Gauge({
    name: 'scaleslip_gateway_unreachable_backends',
    help: 'Listed backends to which this daemon can open no connection; all of them while it is partitioned',
    registers: [this.registry],
  });
  readonly relayedRequests = new Counter({
    name: 'scaleslip_gateway_relayed_requests_total',
    help: 'Requests of own callers sent through another daemon, by the end there: answered, or why not',
    labelNames: ['end'],
    registers: [this.registry],
  });
  readonly relayedForOthers = new Counter({
    name: 'scaleslip_gateway_relayed_for_others_total',
    help: "Requests of other daemons' callers that this daemon was to relay to a backend, by end",
    labelNames: ['end'],
    registers: [this.registry],
  });
  readonly relaysInFlight = new Gauge({
    name: 'scaleslip_gateway_relays_in_flight',
    help: "Requests of other daemons' callers that this daemon is relaying",
    registers: [this.registry],
  });
  readonly backendProbes = new Counter({
    name: 'scaleslip_gateway_backend_probes_total',
    help: 'Connections opened only to find out whether a backend can be reached',
    registers: [this.registry],
  });
  readonly backoffs = new Counter({
    name: 'scaleslip_gateway_backend_rests_total',
    help: 'Refusals in which a backend has asked this daemon for rest',
    registers: [this.registry],
  });
  readonly faults = new Counter({
    name: 'scaleslip_gateway_faults_total',
    help: 'Unexpected exceptions, by what each has ended: request, relayed_request, message or tick',
    labelNames: ['scope'],
    registers: [this.registry],
  });
  readonly crashedRequests = new Counter({
    name: 'scaleslip_gateway_crashes_met_total',
    help: 'Requests that this daemon had at a backend when it crashed',
    registers: [this.registry],
  });
  readonly blockedRequests = new Gauge({
    name: 'scaleslip_gateway_condemned_requests',
    help: 'Requests that are refused because backends have crashed under them',
    registers: [this.registry],
  });
  readonly heldBytes = new Gauge({
    name: 'scaleslip_gateway_held_bytes',
    help: 'Bytes of answers that callers have not read, and of requests under way',
    registers: [this.registry],
  });
  readonly requestBytes = new Gauge({
    name: 'scaleslip_gateway_request_bytes',
    help: 'Bytes that requests take, from their first byte until they have ended',
    registers: [this.registry],
  });
  readonly closedConnections = new Counter({
    name: 'scaleslip_gateway_closed_connections_total',
    help: 'Connections of callers closed at a limit: connections, heads or pipelined',
    labelNames: ['limit'],
    registers: [this.registry],
  });
  readonly slowCallers = new Counter({
    name: 'scaleslip_gateway_slow_callers_total',
    help: 'Callers broken off because they read too slowly, by what was used up',
    labelNames: ['reason'],
    registers: [this.registry],
  });
  readonly processPauseSeconds = new Histogram({
    name: 'scaleslip_gateway_process_pause_seconds',
    help: 'Times for which this process got no processor or was frozen',
    buckets: [0.2, 0.5, 1, 2, 5, 10],
    registers: [this.registry],
  });
  readonly interruptedRequests = new Counter({
    name: 'scaleslip_gateway_interrupted_requests_total',
    help: 'Requests that had not ended when the time for a stop was over',
    registers: [this.registry],
  });
  readonly loadSeconds = new Histogram({
    name: 'scaleslip_gateway_load_seconds',
    help: 'Time of the loads of models that have ended, by the place of the copy',
    labelNames: ['copy'],
    buckets: SECONDS_BUCKETS,
    registers: [this.registry],
  });
  readonly storeCalls = new Counter({
    name: 'scaleslip_gateway_store_calls_total',
    help: "Calls to the platform's store by outcome",
    labelNames: ['call', 'outcome'],
    registers: [this.registry],
  });
  readonly refusals = new Counter({
    name: 'scaleslip_gateway_refusals_total',
    help: 'Requests refused, by kind of error and tenant; empty for callers without a key',
    labelNames: ['kind', 'tenant'],
    registers: [this.registry],
  });
  readonly slotWaitSeconds = new Histogram({
    name: 'scaleslip_gateway_slot_wait_seconds',
    help: "Time from the ask for a backend's slot to the keeper's word, by that word",
    labelNames: ['answer'],
    buckets: SECONDS_BUCKETS,
    registers: [this.registry],
  });
  readonly unansweredSlotRequests = new Counter({
    name: 'scaleslip_gateway_slot_asks_unanswered_total',
    help: 'Asks for slots that no keeper answered in time: the daemon decided alone',
    registers: [this.registry],
  });
  readonly excessSlotRequests = new Gauge({
    name: 'scaleslip_gateway_slot_overfill_requests',
    help: 'Requests in flight beyond the slots of backends whose slots this daemon keeps',
    registers: [this.registry],
  });
  readonly permits = new Counter({
    name: 'scaleslip_gateway_permits_total',
    help: 'Permits asked for to send to backends that name rate limits, by decision: granted, over_limit, unknown',
    labelNames: ['answer'],
    registers: [this.registry],
  });
  readonly brittleRejections = new Counter({
    name: 'scaleslip_gateway_brittle_rejections_total',
    help: 'Rejections by backends that fall over if they must reject too many requests in a second',
    registers: [this.registry],
  });
  readonly brittleBackends = new Gauge({
    name: 'scaleslip_gateway_brittle_backends',
    help: 'Backends known to fall over if they must reject too many requests in a second',
    registers: [this.registry],
  });
  readonly backendRateLimit = new Gauge({
    name: 'scaleslip_gateway_backend_rate_limit',
    help: 'Requests a second that a listed backend takes from all daemons, where it names a limit',
    labelNames: ['backend'],
    registers: [this.registry],
  });
  readonly configurationAge = new Gauge({
    name: 'scaleslip_gateway_configuration_age_seconds',
    help: 'Time since the configuration was proved current; -1 if it never was, or keys are not needed',
    registers: [this.registry],
  });
  readonly inFlight = new Gauge({
    name: 'scaleslip_gateway_in_flight_requests',
    help: 'Requests that have not ended',
    registers: [this.registry],
  });
  readonly controlBytes = new Gauge({
    name: 'scaleslip_gateway_control_bytes',
    help: 'Bytes between this daemon and the others since its start',
    labelNames: ['direction'],
    registers: [this.registry],
  });
  readonly roundSeconds = new Histogram({
    name: 'scaleslip_gateway_planning_round_seconds',
    help: "Time of an owner's planning round, its update included",
    buckets: [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5],
    registers: [this.registry],
  });
  readonly backendSpeed = new Gauge({
    name: 'scaleslip_gateway_backend_speed',
    help: 'Speed of a backend against the usual one, as the owner of its service has learned',
    labelNames: ['service', 'backend'],
    registers: [this.registry],
  });
  readonly configurationVersion = new Gauge({
    name: 'scaleslip_gateway_configuration_version',
    help: 'Version of the configuration in force',
    registers: [this.registry],
  });

  readonly unownedSeconds = new Gauge({
    name: 'scaleslip_gateway_unowned_seconds',
    help: 'Time for which this daemon has known no owner of a service; 0 while it knows one',
    labelNames: ['service'],
    registers: [this.registry],
  });
  readonly routeHistoryBytes = new Gauge({
    name: 'scaleslip_gateway_route_history_bytes',
    help: 'Estimated memory of the routes of replaced configurations under which streams may still run',
    registers: [this.registry],
  });
  readonly heapBytes = new Gauge({
    name: 'scaleslip_gateway_heap_bytes',
    help: 'Memory of JavaScript objects: used, garbage included, and the limit at which the process ends',
    labelNames: ['kind'],
    registers: [this.registry],
  });

  private histogram(name: string, help: string): Histogram<'route'> {
    return new Histogram({
      name: `scaleslip_gateway_${name}_seconds`,
      help,
      labelNames: ['route'],
      buckets: SECONDS_BUCKETS,
      registers: [this.registry],
    });
  }
}
