/** Client of the rate-limited checkpoint store, from which engines load models. */
import { Result } from 'true-myth';
import { HttpClient, type TransportFailure } from '../common/http-client.js';

/** A checkpoint to fetch. */
export interface CheckpointRequest {
  readonly model: string;
  readonly bytes: number;
}

/** Interface of the checkpoint store. */
export interface WeightStoreClient {
  /** Resolves when the last byte has arrived; fails after `timeoutMs` milliseconds. */
  fetch(request: CheckpointRequest, timeoutMs: number): Promise<Result<void, TransportFailure>>;
  close(): void;
}

/** Largest reply: only its status is used. */
const MAX_REPLY_BYTES = 64 * 1024;

/** Implements the store's published protocol over HTTP. */
export class HttpWeightStoreClient implements WeightStoreClient {
  private readonly http = new HttpClient({ maxResponseBytes: MAX_REPLY_BYTES });

  /** @param address - "ip:port" of the store. */
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
