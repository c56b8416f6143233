/** The rate-limited store of checkpoints, as an engine uses it to load a model. */
import { Result } from 'true-myth';
import { HttpClient, type TransportFailure } from '../common/http-client.js';

/** A checkpoint to fetch. */
export interface CheckpointRequest {
  readonly model: string;
  readonly bytes: number;
}

/** The store's service. */
export interface WeightStoreClient {
  /** Resolves when the last byte has come; fails after `timeoutMs`. */
  fetch(request: CheckpointRequest, timeoutMs: number): Promise<Result<void, TransportFailure>>;
  close(): void;
}

/** Speaks the store's published protocol. */
export class HttpWeightStoreClient implements WeightStoreClient {
  private readonly http = new HttpClient();

  /** `address` is "ip:port". */
  constructor(private readonly address: string) {}

  close(): void {
    this.http.close();
  }

  async fetch(
    request: CheckpointRequest,
    timeoutMs: number,
  ): Promise<Result<void, TransportFailure>> {
    const answer = await this.http.send({
      method: 'POST',
      address: this.address,
      path: '/fetch',
      body: request,
      timeoutMs,
    });
    return answer.andThen((value): Result<void, TransportFailure> =>
      value.status === 200
        ? Result.ok(undefined)
        : Result.err({ reason: 'lost', message: `status ${value.status}` }),
    );
  }
}
