/** A backend that refuses, breaks off, answers late or answers twice, and counts how often each request has run. */
import type http from 'node:http';
import type { Socket } from 'node:net';
import { TestBackend } from './gateway-harness.js';

/** What the backend does with one request. */
export type Behaviour =
  'answers' | 'refuses' | 'refuses_twice' | 'misdirected' | 'runs_and_breaks' | 'breaks';

/** What the backend does with one request, and after how many milliseconds. */
export interface DrawnAnswer {
  readonly behaviour: Behaviour;
  readonly afterMs: number;
}

/** A backend whose behaviour is drawn for each request. */
export class FickleBackend extends TestBackend {
  /** Number of runs by request id. */
  readonly runs = new Map<string, number>();
  /** Second copies of refusals, each of which comes where the next answer on its connection should come. */
  private readonly copies = new WeakMap<Socket, string>();
  private next = 0;

  constructor(
    id: string,
    private readonly answers: readonly DrawnAnswer[],
  ) {
    super(id);
    this.handle = (request, response) => this.take(request, response);
  }

  private take(request: http.IncomingMessage, response: http.ServerResponse): void {
    const answer = this.answers[this.next % this.answers.length];
    this.next += 1;
    const copy = this.copies.get(request.socket);
    if (copy !== undefined) request.socket.write(copy);
    this.copies.delete(request.socket);
    if (answer === undefined) return;
    const { behaviour, afterMs } = answer;
    const id = String(request.headers['request-id']);
    if (behaviour === 'answers' || behaviour === 'runs_and_breaks') {
      this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
    }
    setTimeout(() => this.act(request, response, behaviour), afterMs);
  }

  private act(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    behaviour: Behaviour,
  ): void {
    if (response.destroyed) return;
    const id = String(request.headers['request-id']);
    switch (behaviour) {
      case 'answers':
        response.writeHead(200, { signed: 'yes' });
        return void response.end(`done ${id}`);
      case 'runs_and_breaks':
      case 'breaks':
        return void response.destroy();
      case 'misdirected':
        return void response.writeHead(421).end();
      case 'refuses_twice':
        this.copies.set(request.socket, refusalOf(id));
        return void response.writeHead(503, { 'not-run': '1' }).end();
      case 'refuses':
        return void response.writeHead(503, { 'not-run': '1' }).end();
    }
  }
}

/** The bytes of a refusal of the request with an id. */
function refusalOf(id: string): string {
  return `HTTP/1.1 503 X\r\nrequest-id: ${id}\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n`;
}
