/** Callers that leave a stream early and resume it at a given gateway with the last event alone, without the attempt that began it. */
import { sleep } from '../../src/common/process.js';
import { call } from './caller.js';
import type { StreamAttempt, StreamRecord } from './evidence.js';
import { eventCount, versionsIn } from './expected-events.js';
import type { GatewayProcess } from './gateway-process.js';
import { completeEvents, countReplicas } from './resuming-callers.js';
import type { SoakSystem } from './soak-system.js';
import { STEADY_CALLER } from './soak-tenants.js';
import type { StopCallerContext } from './stop-callers.js';

const EVENTS = 60;
/** Events after which the callers leave. */
const LEAVES_AFTER = 2;
const DEADLINE_MS = 6_000;
const MAX_RETURN_MS = 100;

/** All such callers of one soak test. */
export class UnnamedResumers {
  readonly streams: StreamRecord[] = [];

  constructor(
    private readonly context: Pick<StopCallerContext, 'random' | 'makeRequest' | 'track'>,
    private readonly system: Pick<SoakSystem, 'replicas'>,
  ) {}

  /** Begins a stream at one gateway, to be resumed at another one. */
  begin(first: GatewayProcess, second: GatewayProcess, model: string | undefined): void {
    this.context.track(this.receive(first, second, model));
  }

  private async receive(
    first: GatewayProcess,
    second: GatewayProcess,
    model: string | undefined,
  ): Promise<void> {
    const { random, makeRequest } = this.context;
    const content = { events: EVENTS };
    const drawn = makeRequest(random, 'resumable', '/models/s/x', model, content, DEADLINE_MS);
    const request = { ...drawn, caller: STEADY_CALLER };
    const pauseMs = random.between(0, MAX_RETURN_MS);
    const begun = await call({ ...request, leavesAfter: LEAVES_AFTER }, first.name, first.callers);
    const attempts: StreamAttempt[] = [
      { call: begun, ...countReplicas(this.system, undefined, model) },
    ];
    const text = completeEvents(begun);
    const lastEventId = eventCount(text);
    if (lastEventId > 0 && lastEventId < EVENTS) {
      await sleep(pauseMs);
      const replicas = countReplicas(this.system, versionsIn(text)[0], model);
      const resumes = { attemptId: undefined, lastEventId };
      const resumption = { ...request, attemptId: `${request.attemptId}-1`, resumes };
      attempts.push({ call: await call(resumption, second.name, second.callers), ...replicas });
    }
    this.streams.push({ body: request.body, events: EVENTS, attempts });
  }
}
