/**
 * Plans opt-in faults, which occur only if their kinds are listed in the options. They use a separate generator,
 * so that existing seeds still produce the same other faults. Pure functions.
 */
import { CROWD_SHAPES, type CrowdShape } from './crowd.js';
import type { BackendCut } from './gateway-process.js';
import { SOFTWARE_VERSIONS } from './soak-replicas.js';
import type { SeededRandom } from './seeded-random.js';

/** Which gateway is suspended. */
export type SuspendedGateway = 'owner' | 'counter' | 'any';

/** A fault of the opt-in kinds. */
export type OptInFault =
  /** A request that crashes every replica that runs it is repeated at random gateways, sometimes several at once. */
  | {
      readonly kind: 'poison_request';
      readonly repeats: number;
      readonly atOnce: number;
      readonly gapMs: number;
      /** Time after which crashed replicas start again. */
      readonly backMs: number;
    }
  /** Requests that differ, but share a part of their prompts that crashes every replica that runs it, come at random gateways. */
  | {
      readonly kind: 'poison_part';
      /** Whether it is the first part of their prompts; otherwise they share the first one with sound requests. */
      readonly isFirst: boolean;
      readonly repeats: number;
      readonly gapMs: number;
      /** Time after which crashed replicas start again. */
      readonly backMs: number;
    }
  /** Replicas announce their departure in responses; their registry entries follow later, or never before they end. */
  | {
      readonly kind: 'answers_tell_leaving';
      readonly count: number;
      readonly serveMs: number;
      /** Infinite if the entry disappears without an announcement. */
      readonly listedAfterMs: number;
    }
  /** Replicas reject requests for a time, and request a backoff from the senders. */
  | {
      readonly kind: 'backend_asks_rest';
      readonly share: number;
      readonly milliseconds: number;
      readonly restSeconds: number;
    }
  /** Replicas announce rate limits in responses. The limits change a few times and end; a replica may restart and a gateway may be cut off. */
  | {
      readonly kind: 'backend_names_limit';
      readonly share: number;
      /** Successive limits in requests per second, each of which applies for `eachMs`. */
      readonly limits: readonly number[];
      readonly eachMs: number;
      /** Time until a limited replica crashes, and time for which a gateway is cut off (`cutMs`); 0 for no such fault. */
      readonly crashAfterMs: number;
      readonly cutMs: number;
    }
  /** The store fails briefly and is restored from a backup; the operator and the replicas repeat the lost writes. */
  | {
      readonly kind: 'store_restored';
      /** Age of the backup at the failure. */
      readonly copyMs: number;
      readonly awayMs: number;
      /** Time from the restore until the lost records are written again. */
      readonly rewrittenAfterMs: number;
      /** Lost writes to keys that no client watches. They keep the restored revision counter below the old one for longer. */
      readonly lostWrites: number;
      /** Writes to keys that no client watches, which raise the revision counter past the watch positions of gateways. */
      readonly otherWrites: number;
      /** Time from the restore until a replica starts to leave and a new configuration is accepted. */
      readonly changesAfterMs: number;
      /** Time for which the owner of a service is cut off meanwhile; 0 for no cut. */
      readonly cutMs: number;
    }
  /** One or two gateways are each partitioned from all others, and new gateways join the others. */
  | {
      readonly kind: 'joined_during_cut';
      /** Whether the gateway that counts the limited tenant is among those that are cut off. */
      readonly cutsCounter: boolean;
      readonly cutCount: number;
      readonly cutMs: number;
      readonly joiners: number;
      readonly joinAfterMs: number;
    }
  /** Some gateways are partitioned from all replicas, while callers, the store and the other gateways reach them. */
  | {
      readonly kind: 'partitioned_from_backends';
      readonly how: BackendCut;
      /** Share of the gateways, rounded up; 1 for all. */
      readonly share: number;
      /** Whether the owner of the models is among them. */
      readonly includesOwner: boolean;
      readonly milliseconds: number;
    }
  /** The replicas of one service are brittle: they fall over if they must reject too many requests, and their room shrinks. */
  | {
      readonly kind: 'backends_brittle';
      readonly service: 'models' | 'plain';
      readonly tolerated: number;
      readonly room: number;
      readonly milliseconds: number;
      readonly backMs: number;
    }
  /** Sound replicas send nothing for about a second. */
  | {
      readonly kind: 'replica_silent';
      readonly count: number;
      readonly milliseconds: number;
    }
  /**
   * All replicas of one service or of both fall silent together, again and again, beside changes of the configuration and SIGHUPs
   * to all gateways. Callers hold streams on kept connections meanwhile.
   */
  | {
      readonly kind: 'replicas_silent_together';
      readonly service: 'models' | 'plain' | 'both';
      /** Number of silences, and how long each one lasts. */
      readonly silences: number;
      readonly milliseconds: number;
      /** Time from the end of a silence until the next one. */
      readonly gapMs: number;
      /** Requests that each of the replicas accepts at the same time meanwhile; infinite if that is not reduced. */
      readonly room: number;
      /** Number of streams that callers begin shortly before each silence. */
      readonly streams: number;
      /** Time between changes of the configuration, and between signals to all gateways. */
      readonly changeGapMs: number;
      readonly signalGapMs: number;
    }
  /** Replicas refuse late what goes on with a stream, and a share of the other requests, while half of the model replicas are silent. */
  | {
      readonly kind: 'replicas_refuse_late';
      readonly service: 'models' | 'both';
      /** Shares of the requests, and of those that go on with a stream, that are refused, and the time for which each is kept before. */
      readonly share: number;
      readonly resumedShare: number;
      readonly delayMs: number;
      readonly silences: number;
      readonly milliseconds: number;
      /** Time from the end of a silence until the next one. */
      readonly gapMs: number;
      /** Number of streams that callers begin shortly before each silence. */
      readonly streams: number;
    }
  /**
   * A gateway reaches neither the store nor the other gateways while replicas of a new software version join. Streams begin at other
   * gateways, and their callers resume them at that one, without the name of the attempt.
   */
  | {
      readonly kind: 'version_joins_unseen';
      readonly milliseconds: number;
      readonly streams: number;
    }
  /** Replicas of the models end and start again with another software version. Callers take up streams at other gateways. */
  | {
      readonly kind: 'software_released';
      readonly count: number;
      readonly version: string;
      /** Whether they crash; otherwise they leave. */
      readonly crashes: boolean;
      readonly downMs: number;
    }
  /** All replicas of the models leave, all gateways are killed, and the replicas start again with another software version. */
  | {
      readonly kind: 'software_replaced';
      /** Time for which the replicas go on serving. */
      readonly serveMs: number;
      /** Time from their end until they start again. */
      readonly downMs: number;
    }
  /** Replicas answer without a length or chunks, and end some streams within an event. */
  | {
      readonly kind: 'answers_unframed';
      readonly count: number;
      readonly milliseconds: number;
    }
  /** All replicas close the connections of some answers within their head or right after it, and end some streams within an event. */
  | {
      readonly kind: 'heads_cut';
      readonly count: number;
      readonly milliseconds: number;
    }
  /** Replicas answer some requests with a status that HTTP does not allow. */
  | {
      readonly kind: 'statuses_spoiled';
      readonly count: number;
      readonly milliseconds: number;
    }
  /** Replicas answer some requests with bytes that do not end until the connection is closed. */
  | {
      readonly kind: 'answers_endless';
      readonly count: number;
      readonly milliseconds: number;
    }
  /**
   * All replicas of a service are full for moments, and send rejections and some other answers a second time, where the next answer
   * on the connection should come.
   */
  | {
      readonly kind: 'answers_repeated';
      readonly service: 'models' | 'plain';
      readonly milliseconds: number;
    }
  /** A gateway gets no processor for a time at a request to stop or shortly after it. */
  | {
      readonly kind: 'paused_at_stop';
      /** Time from the request to stop until the pause. */
      readonly afterMs: number;
      readonly milliseconds: number;
      /** Time from the start of the pause until the request to stop is repeated; 0 for no repetition. */
      readonly repeatedAfterMs: number;
      /** Number of requests that are under way at the start of the pause. */
      readonly requests: number;
    }
  /** Callers send the bodies of their requests in pieces while a gateway stops. */
  | {
      readonly kind: 'slow_bodies_at_stop';
      /** Number of callers; every other one keeps its connection. */
      readonly callers: number;
    }
  /** Callers that do not behave connect to a gateway and stay. */
  | {
      readonly kind: 'callers_misbehave';
      readonly shape: CrowdShape;
      readonly callers: number;
      readonly milliseconds: number;
    }
  /** The load balancer sends most new connections to one gateway. */
  | {
      readonly kind: 'connections_funnelled';
      readonly milliseconds: number;
    }
  /** A configuration as large as the store takes changes many times, faster than it is applied. */
  | {
      readonly kind: 'large_configuration';
      readonly versions: number;
      readonly gapMs: number;
    }
  /** A gateway is lost for good, and another one starts at another address. */
  | {
      readonly kind: 'gateways_replaced';
      readonly afterMs: number;
    }
  /** A gateway is suspended, and its monotonic clock stops with it. */
  | {
      readonly kind: 'suspended';
      readonly who: SuspendedGateway;
      readonly milliseconds: number;
      /** Time after its resumption for which the gateway receives no updates from other gateways. */
      readonly cutMs: number;
    };

/** How gateways are partitioned from all replicas. */
export type PartitionFault = Omit<
  Extract<OptInFault, { kind: 'partitioned_from_backends' }>,
  'kind'
>;

/** A fault and its start time, in milliseconds after the start of the fault phase. */
export interface PlannedOptInFault {
  readonly at: number;
  readonly fault: OptInFault;
}

/** All kinds of opt-in faults. */
export const OPT_IN_FAULT_KINDS: readonly OptInFault['kind'][] = [
  'poison_request',
  'answers_tell_leaving',
  'backend_asks_rest',
  'backend_names_limit',
  'store_restored',
  'suspended',
  'joined_during_cut',
  'partitioned_from_backends',
  'backends_brittle',
  'replica_silent',
  'software_released',
  'poison_part',
  'answers_unframed',
  'connections_funnelled',
  'statuses_spoiled',
  'answers_repeated',
  'paused_at_stop',
  'slow_bodies_at_stop',
  'answers_endless',
  'replicas_silent_together',
  'software_replaced',
  'callers_misbehave',
  'replicas_refuse_late',
  'version_joins_unseen',
  'large_configuration',
  'gateways_replaced',
  'heads_cut',
];

/** Rate limits in requests per second. */
const RATE_LIMITS = [0, 0.4, 1, 2.5, 8, 30];
const MAX_LIMIT_COUNT = 3;
const MIN_GAP_MS = 800;
const MAX_GAP_MS = 5_000;
/** Owners and counters are listed because they hold leases, which must not outlive a suspension. */
const BACKEND_CUTS: readonly BackendCut[] = ['hang', 'reset', 'refuse'];
/** Shares of gateways that are partitioned from all replicas. */
const PARTITIONED_SHARES = [0.01, 0.3, 0.3, 0.5, 0.8, 1];
/** Rejections per second that brittle replicas tolerate. */
const TOLERATED_REJECTIONS = [2, 4, 6, 10];
/** Services whose replicas fall silent together. */
const SILENT_SERVICES = ['models', 'plain', 'both'] as const;
/** Services whose replicas refuse requests late: those of the streams always do. */
const STREAM_SERVICES = ['models', 'both'] as const;
const SUSPENDED_GATEWAYS: readonly SuspendedGateway[] = ['owner', 'owner', 'counter', 'any'];

/**
 * Plans faults of the given kinds that start within the given number of milliseconds; none without a kind.
 * @param partition - Replaces what is drawn for partitions of gateways from all replicas.
 */
export function planOptInFaults(
  random: SeededRandom,
  milliseconds: number,
  kinds: readonly OptInFault['kind'][],
  partition: Partial<PartitionFault> = {},
): PlannedOptInFault[] {
  const plan: PlannedOptInFault[] = [];
  let at = 0;
  for (;;) {
    at += random.between(MIN_GAP_MS, MAX_GAP_MS);
    const kind = random.pick(kinds);
    if (at >= milliseconds || kind === undefined) return plan;
    const fault = drawFault(random, kind);
    const isPartition = kind === 'partitioned_from_backends';
    plan.push({ at, fault: isPartition ? { ...fault, ...partition } : fault });
  }
}

type Drawers = {
  readonly [Kind in OptInFault['kind']]: (
    random: SeededRandom,
  ) => Omit<Extract<OptInFault, { kind: Kind }>, 'kind'>;
};

/** Draws the parameters of each kind of fault. */
const DRAWERS: Drawers = {
  poison_request: (random) => ({
    repeats: Math.ceil(random.between(6, 24)),
    atOnce: random.chance(0.5) ? 1 : Math.ceil(random.between(1, 4)),
    gapMs: random.between(50, 900),
    backMs: random.between(500, 3_000),
  }),
  poison_part: (random) => ({
    isFirst: random.chance(0.25),
    repeats: Math.ceil(random.between(30, 80)),
    gapMs: random.between(150, 500),
    backMs: random.between(500, 3_000),
  }),
  answers_tell_leaving: (random) => ({
    count: Math.ceil(random.between(0, 3)),
    serveMs: random.between(3_000, 10_000),
    listedAfterMs: random.chance(0.5) ? Infinity : random.between(500, 6_000),
  }),
  backend_asks_rest: (random) => ({
    share: random.between(0.2, 1),
    milliseconds: random.between(500, 6_000),
    restSeconds: random.between(0.7, 4),
  }),
  backend_names_limit: (random) => ({
    share: random.between(0.2, 1),
    limits: drawLimits(random),
    eachMs: random.between(4_000, 12_000),
    crashAfterMs: random.chance(0.3) ? random.between(500, 5_000) : 0,
    cutMs: random.chance(0.4) ? random.between(500, 4_000) : 0,
  }),
  store_restored: (random) => ({
    copyMs: random.between(500, 4_000),
    awayMs: random.between(200, 2_500),
    rewrittenAfterMs: random.between(0, 2_000),
    lostWrites: Math.ceil(random.between(0, 400)),
    otherWrites: random.chance(0.7) ? 0 : Math.ceil(random.between(10, 400)),
    changesAfterMs: random.between(0, 4_000),
    cutMs: random.chance(0.4) ? random.between(1_000, 5_000) : 0,
  }),
  joined_during_cut: (random) => ({
    cutsCounter: random.chance(0.5),
    cutCount: Math.ceil(random.between(0, 2)),
    cutMs: random.between(5_000, 14_000),
    joiners: Math.ceil(random.between(2, 8)),
    joinAfterMs: random.between(200, 4_000),
  }),
  partitioned_from_backends: (random) => ({
    how: random.pick(BACKEND_CUTS) ?? 'hang',
    share: random.pick(PARTITIONED_SHARES) ?? 1,
    includesOwner: random.chance(0.5),
    milliseconds: random.between(7_000, 13_000),
  }),
  backends_brittle: (random) => ({
    service: random.chance(0.6) ? 'plain' : 'models',
    tolerated: random.pick(TOLERATED_REJECTIONS) ?? 4,
    room: Math.ceil(random.between(0, 3)),
    milliseconds: random.between(6_000, 12_000),
    backMs: random.between(1_000, 3_000),
  }),
  replica_silent: (random) => ({
    count: Math.ceil(random.between(0, 2)),
    milliseconds: random.between(700, 1_200),
  }),
  replicas_silent_together: (random) => ({
    service: random.pick(SILENT_SERVICES) ?? 'both',
    silences: Math.ceil(random.between(1, 4)),
    milliseconds: random.between(1_000, 1_500),
    gapMs: random.between(500, 1_800),
    room: random.chance(0.6) ? Math.ceil(random.between(0, 3)) : Infinity,
    streams: Math.ceil(random.between(5, 15)),
    changeGapMs: random.between(200, 700),
    signalGapMs: random.between(400, 1_500),
  }),
  replicas_refuse_late: (random) => ({
    service: random.pick(STREAM_SERVICES) ?? 'both',
    share: random.between(0, 0.1),
    resumedShare: random.between(0.7, 1),
    delayMs: random.between(350, 900),
    silences: Math.ceil(random.between(4, 10)),
    milliseconds: random.between(1_800, 2_600),
    gapMs: random.between(200, 600),
    streams: Math.ceil(random.between(12, 20)),
  }),
  version_joins_unseen: (random) => ({
    milliseconds: random.between(900, 8_000),
    streams: Math.ceil(random.between(15, 30)),
  }),
  software_released: (random) => ({
    count: Math.ceil(random.between(0, 2)),
    version: random.pick(SOFTWARE_VERSIONS) ?? '',
    crashes: random.chance(0.6),
    downMs: random.between(300, 2_000),
  }),
  software_replaced: (random) => ({
    serveMs: random.between(100, 500),
    downMs: random.between(0, 600),
  }),
  answers_unframed: (random) => ({
    count: Math.ceil(random.between(0, 4)),
    milliseconds: random.between(2_000, 6_000),
  }),
  statuses_spoiled: (random) => ({
    count: Math.ceil(random.between(0, 4)),
    milliseconds: random.between(2_000, 6_000),
  }),
  answers_endless: (random) => ({
    count: Math.ceil(random.between(0, 4)),
    milliseconds: random.between(2_000, 6_000),
  }),
  heads_cut: (random) => ({
    count: Infinity,
    milliseconds: random.between(2_000, 6_000),
  }),
  answers_repeated: (random) => ({
    service: random.chance(0.7) ? 'plain' : 'models',
    milliseconds: random.between(2_000, 6_000),
  }),
  callers_misbehave: (random) => ({
    shape: random.pick(CROWD_SHAPES) ?? 'heads',
    callers: Math.ceil(random.between(20, 400)),
    milliseconds: random.between(1_000, 8_000),
  }),
  connections_funnelled: (random) => ({
    milliseconds: random.between(6_000, 10_000),
  }),
  paused_at_stop: (random) => ({
    afterMs: random.chance(0.5) ? 0 : random.between(0, 400),
    milliseconds: random.between(300, 1_800),
    repeatedAfterMs: random.chance(0.5) ? 0 : random.between(50, 2_500),
    requests: Math.ceil(random.between(5, 10)),
  }),
  slow_bodies_at_stop: (random) => ({
    callers: Math.ceil(random.between(24, 60)),
  }),
  large_configuration: (random) => ({
    versions: Math.ceil(random.between(8, 25)),
    gapMs: random.between(100, 400),
  }),
  gateways_replaced: (random) => ({
    afterMs: random.between(200, 2_000),
  }),
  suspended: (random) => ({
    who: random.pick(SUSPENDED_GATEWAYS) ?? 'any',
    milliseconds: random.between(1_000, 7_500),
    cutMs: random.chance(0.6) ? random.between(500, 2_500) : 0,
  }),
};

function drawFault(random: SeededRandom, kind: OptInFault['kind']): OptInFault {
  return { kind, ...DRAWERS[kind](random) } as OptInFault;
}

function drawLimits(random: SeededRandom): number[] {
  const count = Math.ceil(random.between(0, MAX_LIMIT_COUNT));
  return Array.from({ length: count }, () => random.pick(RATE_LIMITS) ?? 1);
}
