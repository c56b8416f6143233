/** Callers that leave their streams, or lose them, and take them up at other gateways. */
import { sleep } from '../../src/common/process.js';
import { call, type CallRecord, type SoakRequest } from './caller.js';
import type { StreamAttempt, StreamRecord } from './evidence.js';
import { eventCount, versionsIn } from './expected-events.js';
import type { GatewayProcess } from './gateway-process.js';
import type { SeededRandom } from './seeded-random.js';
import { MODELS } from './soak-replicas.js';
import type { SoakSystem } from './soak-system.js';
import { STEADY_CALLER } from './soak-tenants.js';

/** Number of attempts at one stream. */
const MAX_ATTEMPTS = 3;
/** Number of events of each stream. */
const EVENTS = 60;
/** Events after which some callers leave. */
const LEAVES_AFTER = 8;
const MEAN_GAP_MS = 125;
/** Longest time until a caller comes back. */
const MAX_RETURN_MS = 400;
/** Share of the streams whose callers name only the last event, not the attempt, when they take them up. */
const UNNAMED_SHARE = 0.3;
/** Longest time until such a caller comes back: some come after all gateways have restarted. */
const MAX_UNNAMED_RETURN_MS = 4_000;

/** What these callers need of their soak test. */
export interface ResumingCallerContext {
  readonly random: SeededRandom;
  /** Draws the callers that name no attempt, and when they come back; undefined if all callers name it. */
  readonly unnamed: SeededRandom | undefined;
  readonly system: Pick<SoakSystem, 'replicas'>;
  readonly endsAt: () => number;
  readonly routableGateways: () => GatewayProcess[];
  /** Makes a request of any caller for a resumable stream. */
  readonly makeRequest: (
    random: SeededRandom,
    path: string,
    model: string | undefined,
    events: number,
  ) => SoakRequest;
}

/** All such callers of one soak test. */
export class ResumingCallers {
  readonly streams: StreamRecord[] = [];
  private readonly pending = new Set<Promise<void>>();

  constructor(private readonly context: ResumingCallerContext) {}

  /** Begins streams until the soak test ends, and waits for the last ones. */
  async run(): Promise<void> {
    const { random, endsAt } = this.context;
    while (Date.now() < endsAt()) {
      const done = this.receiveStream();
      this.pending.add(done);
      void done.finally(() => this.pending.delete(done));
      await sleep(random.between(0.3, 1.7) * MEAN_GAP_MS);
    }
    await Promise.all(this.pending);
  }

  private async receiveStream(): Promise<void> {
    const { random, makeRequest } = this.context;
    const first = {
      ...makeRequest(random, '/models/s/x', random.pick(MODELS), EVENTS),
      caller: STEADY_CALLER,
    };
    const leaves = random.chance(0.5);
    const { unnamed } = this.context;
    const isUnnamed = unnamed?.chance(UNNAMED_SHARE) === true;
    const startedAt = Date.now();
    const attempts: StreamAttempt[] = [];
    const gateways = new Set<string>();
    let text = '';
    /** The attempt that brought the first event. */
    let begunBy: string | undefined;
    for (let number = 0; number < MAX_ATTEMPTS && eventCount(text) < EVENTS; number++) {
      if (number > 0) await sleep(random.between(0, MAX_RETURN_MS));
      if (number > 0 && isUnnamed) await sleep(unnamed.between(0, MAX_UNNAMED_RETURN_MS));
      // Without the name of the attempt, gateways know a stream only for the time that its route allows.
      if (isUnnamed && Date.now() > startedAt + first.deadlineMs) break;
      const gateway = this.pickOther(gateways);
      if (gateway === undefined) break;
      gateways.add(gateway.name);
      const lastEventId = eventCount(text);
      const request: SoakRequest = {
        ...first,
        attemptId: number === 0 ? first.attemptId : `${first.attemptId}-${number}`,
        ...(begunBy === undefined
          ? {}
          : { resumes: { attemptId: isUnnamed ? undefined : begunBy, lastEventId } }),
        ...(number === 0 && leaves ? { leavesAfter: LEAVES_AFTER } : {}),
      };
      const replicas = countReplicas(this.context.system, versionsIn(text)[0], request.model);
      const record = await call(request, gateway.name, gateway.callers);
      attempts.push({ call: record, ...replicas });
      text += completeEvents(record);
      if (eventCount(text) > 0) begunBy ??= request.attemptId;
    }
    this.streams.push({ body: first.body, events: EVENTS, attempts });
  }

  /** Returns a gateway that the caller has not tried, if there is one. */
  private pickOther(tried: ReadonlySet<string>): GatewayProcess | undefined {
    const { random, routableGateways } = this.context;
    const all = routableGateways();
    const others = all.filter(({ name }) => !tried.has(name));
    return random.pick(others.length > 0 ? others : all);
  }
}

/** Counts the replicas at which a stream that began at a version, if any, may and may not go on. */
export function countReplicas(
  { replicas }: Pick<SoakSystem, 'replicas'>,
  version: string | undefined,
  model: string | undefined,
): Omit<StreamAttempt, 'call'> {
  if (version === undefined) return { replicasOfVersion: 0, othersWithModel: 0 };
  const serving = replicas.filter(({ isServing, service }) => isServing && service === 'models');
  const others = serving.filter((each) => each.softwareVersion !== version);
  return {
    replicasOfVersion: serving.length - others.length,
    othersWithModel: others.filter((each) => each.holds(model)).length,
  };
}

/** The complete events that a call has brought; an error's body has none. */
export function completeEvents({ text }: Pick<CallRecord, 'text'>): string {
  const end = text.lastIndexOf('\n\n');
  return end < 0 ? '' : text.slice(0, end + 2);
}
