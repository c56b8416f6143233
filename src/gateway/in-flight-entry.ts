/** Counts one request as in flight at one backend at a time. */
import type { ModelReference } from '../core/service-configuration.js';
import type { RequestTracker } from './request-tracker.js';

/** The entry of one request in the counts of requests in flight. */
export class InFlightEntry {
  private countedAt: string | undefined;

  constructor(
    private readonly tracker: RequestTracker,
    private readonly service: string,
    private readonly model: ModelReference | undefined,
  ) {}

  /** Id of the backend at which the request is counted; undefined if it is counted nowhere. */
  get backend(): string | undefined {
    return this.countedAt;
  }

  /** Counts the request at a backend. */
  begin(backend: string): void {
    this.end();
    this.countedAt = backend;
    this.tracker.addInFlight(this.service, backend, this.model, 1);
  }

  /** Ends the count; does nothing if the request is not counted. */
  end(): void {
    const backend = this.countedAt;
    if (backend === undefined) return;
    this.countedAt = undefined;
    this.tracker.addInFlight(this.service, backend, this.model, -1);
  }
}
