/** Callers whose requests are under way when a gateway stops: at a pause of its process, or with bodies sent in pieces. */
import { sleep } from '../../src/common/process.js';
import { call, type CallRecord, type SoakRequest } from './caller.js';
import type { GatewayProcess } from './gateway-process.js';
import { KeptConnection } from './kept-connection.js';
import type { SeededRandom } from './seeded-random.js';
import { MODELS } from './soak-replicas.js';
import { STEADY_CALLER } from './soak-tenants.js';

/** Deadlines of requests, in milliseconds: not beyond the time limits of their routes. */
const PLAIN_DEADLINE_MS = 1_500;
const STREAM_DEADLINE_MS = 6_000;
/** Shortest deadline and longest run of the plain requests that a pause interrupts. Some deadlines pass in a pause. */
const MIN_DEADLINE_MS = 700;
const MAX_WORK_MS = 600;
/** Shortest run of these: longer than the time until the pause. */
const MIN_WORK_MS = 80;
/** Number of events of the streams that a pause interrupts. */
const EVENTS = 60;

/** Shortest and longest time over which a slow body is sent. */
const MIN_BODY_MS = 500;
const MAX_BODY_MS = 3_000;
/** Longest time for the body of a plain request, whose deadline also covers its run. */
const MAX_PLAIN_BODY_MS = 1_200;
const BODY_FILLER = 'x'.repeat(600);
/** Number of events of the streams of requests with slow bodies. */
const SLOW_BODY_EVENTS = 10;
/** Time after the request to stop until which callers start slow bodies, on kept and on new connections. */
const KEPT_UNTIL_MS = 2_600;
const NEW_UNTIL_MS = 1_500;

/** Makes a request. */
export type RequestMaker = (
  random: SeededRandom,
  kind: SoakRequest['kind'],
  path: string,
  model: string | undefined,
  content: Record<string, unknown>,
  deadlineMs: number,
) => SoakRequest;

/** What these callers need of their soak test. */
export interface StopCallerContext {
  readonly random: SeededRandom;
  readonly makeRequest: RequestMaker;
  readonly record: (call: CallRecord) => void;
  /** Makes the soak test wait for callers. */
  readonly track: (done: Promise<void>) => void;
}

/** All such callers of one soak test. */
export class StopCallers {
  constructor(private readonly context: StopCallerContext) {}

  /** Sends requests on new connections, most of which their replicas still run when the process is paused soon after. */
  sendBeforePause(gateway: GatewayProcess, count: number): void {
    for (let sent = 0; sent < count; sent++) {
      const request = sent % 2 === 0 ? this.makeLongPlain() : this.makeStream(EVENTS);
      this.context.track(this.send(gateway, request));
    }
  }

  /**
   * Sends requests with slow bodies until shortly after the gateway is requested to stop.
   * @param stopAt - When it will be requested to, in Unix milliseconds.
   */
  sendSlowBodies(gateway: GatewayProcess, callers: number, stopAt: number): void {
    for (let index = 0; index < callers; index++) {
      const done =
        index % 2 === 0
          ? this.sendOnKeptConnection(gateway, stopAt + KEPT_UNTIL_MS)
          : this.sendOnNewConnection(gateway, stopAt + NEW_UNTIL_MS);
      this.context.track(done);
    }
  }

  private async sendOnKeptConnection(gateway: GatewayProcess, until: number): Promise<void> {
    const { random, record } = this.context;
    const connection = new KeptConnection(gateway.name, gateway.callers);
    record(await connection.send(this.makePlain({})));
    await sleep(random.between(0, MAX_BODY_MS));
    while (connection.isOpen && Date.now() < until) {
      record(await connection.send(this.makeSlow()));
    }
    connection.close();
  }

  private async sendOnNewConnection(gateway: GatewayProcess, until: number): Promise<void> {
    await sleep(this.context.random.between(0, until - Date.now()));
    await this.send(gateway, this.makeSlow());
  }

  private async send(gateway: GatewayProcess, request: SoakRequest): Promise<void> {
    this.context.record(await call(request, gateway.name, gateway.callers));
  }

  private makeSlow(): SoakRequest {
    const { random } = this.context;
    const isPlain = random.chance(0.5);
    const bodyMs = random.between(MIN_BODY_MS, isPlain ? MAX_PLAIN_BODY_MS : MAX_BODY_MS);
    const request = isPlain ? this.makePlain({ filler: BODY_FILLER }) : this.makeSlowStream();
    return { ...request, bodyMs };
  }

  private makeLongPlain(): SoakRequest {
    const { random } = this.context;
    const workMs = random.between(MIN_WORK_MS, MAX_WORK_MS);
    return this.makePlain({ workMs }, random.between(MIN_DEADLINE_MS, PLAIN_DEADLINE_MS));
  }

  private makePlain(content: Record<string, unknown>, deadlineMs = PLAIN_DEADLINE_MS): SoakRequest {
    const { random, makeRequest } = this.context;
    const kind = random.chance(0.6) ? 'once' : 'any';
    const path = `/plain/${kind}/x`;
    const request = makeRequest(random, kind, path, undefined, content, deadlineMs);
    return { ...request, caller: STEADY_CALLER };
  }

  private makeSlowStream(): SoakRequest {
    return this.makeStream(SLOW_BODY_EVENTS, { filler: BODY_FILLER });
  }

  private makeStream(events: number, content: Record<string, unknown> = {}): SoakRequest {
    const { random, makeRequest } = this.context;
    const isResumable = random.chance(0.4);
    const kind = isResumable ? 'resumable' : 'stream_once';
    const path = isResumable ? '/models/s/x' : '/models/o/x';
    const model = random.pick(MODELS);
    const request = makeRequest(
      random,
      kind,
      path,
      model,
      { events, ...content },
      STREAM_DEADLINE_MS,
    );
    return { ...request, caller: STEADY_CALLER };
  }
}
