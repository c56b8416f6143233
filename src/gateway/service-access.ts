/** Whether this daemon, or another one, reaches the backends of a service. Owners of services need that to give orders. */
import { HttpClient, parseJson } from '../common/http-client.js';
import type { BackendDirectory } from '../core/backend-directory.js';
import type { BackendPaths } from './backend-paths.js';
import type { BackendWatch, ProbeCount } from './backend-watch.js';
import { encodeReachabilityTarget, relayAddressOf } from './relay-protocol.js';

/** Number of daemons asked at the same time. */
const ASKED_DAEMONS = 4;
/** Timeout of a question, in milliseconds: longer than a probe that fails. */
const ANSWER_TIMEOUT_MS = 600;
/** Largest answer, in bytes: two counts. */
const MAX_ANSWER_BYTES = 16 * 1024;

/** Options of {@link ServiceAccess}. */
export interface ServiceAccessOptions {
  readonly directory: Pick<BackendDirectory, 'servingBackends'>;
  readonly watch: BackendWatch;
  readonly paths: BackendPaths;
}

/** The backends of services, as one daemon reaches them. */
export class ServiceAccess {
  private readonly client = new HttpClient({ maxResponseBytes: MAX_ANSWER_BYTES });

  constructor(private readonly options: ServiceAccessOptions) {}

  /** Whether this daemon reaches at least half of a service's backends. */
  reachesService(service: string): boolean {
    const { directory, watch } = this.options;
    if (!watch.reachability.hasUnreachable) return true;
    const backends = directory.servingBackends(service);
    const unreachable = backends.filter(({ address }) => watch.reachability.isUnreachable(address));
    return unreachable.length * 2 <= backends.length;
  }

  /** Asks a few other daemons, and returns the peer address of one that reaches at least half of the backends that it probed. */
  async findDaemonReaching(service: string): Promise<string | undefined> {
    const asked = this.options.paths.nextRelays(ASKED_DAEMONS);
    const counts = await Promise.all(asked.map((peer) => this.ask(peer, service)));
    return asked.find((_, index) => {
      const { reached, probed } = counts[index] ?? { reached: 0, probed: 0 };
      return probed > 0 && reached * 2 >= probed;
    });
  }

  /** Checks a backend that has left an order or a request for a report without an answer. */
  suspect(address: string): void {
    this.options.watch.suspect(address);
  }

  stop(): void {
    this.client.close();
  }

  private async ask(peer: string, service: string): Promise<ProbeCount | undefined> {
    const answer = await this.client.send({
      method: 'GET',
      address: relayAddressOf(peer),
      path: encodeReachabilityTarget(service),
      timeoutMs: ANSWER_TIMEOUT_MS,
    });
    const count = answer.isOk ? parseProbeCount(answer.value.body) : undefined;
    if (count === undefined || count.reached === 0) {
      this.options.paths.recordRefusal(peer, count === undefined ? 'no_relay' : 'partitioned');
    }
    return count;
  }
}

function parseProbeCount(body: string): ProbeCount | undefined {
  const { reached, probed } = (parseJson(body).unwrapOr({}) ?? {}) as Partial<ProbeCount>;
  const isCount = (value: unknown): value is number =>
    typeof value === 'number' && Number.isInteger(value) && value >= 0;
  return isCount(reached) && isCount(probed) ? { reached, probed } : undefined;
}
