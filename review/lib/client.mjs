/** Clients: send one attempt each, on a new connection or on one that an agent keeps. */
import http from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';

export const HOST = 'shifts.example';
let attempts = 0;

/** An id that no other attempt carries. */
export function newAttemptId() {
  attempts += 1;
  return `${Date.now().toString(16)}${process.pid.toString(16)}${attempts.toString(16).padStart(4, '0')}`;
}

/** Sends one attempt; resolves with what the client saw. */
export function send(address, request, record) {
  const { method = 'POST', path, body = '', headers = {}, deadlineMs, agent = false } = request;
  const { attempt = newAttemptId() } = request;
  const [host, port] = address.split(':');
  record.add('client', 'sends', { attempt, method, path, to: address, bytes: body.length });
  return new Promise((resolve) => {
    const seen = { attempt, status: undefined, isComplete: false, text: '', isKept: false };
    let hasEnded = false;
    const end = (how) => {
      if (hasEnded) return;
      hasEnded = true;
      clearTimeout(timer);
      seen.how = how;
      const { status, isComplete } = seen;
      record.add('client', 'sees', {
        attempt,
        status,
        isComplete,
        how,
        sealed: seen.isSealed,
        notRun: seen.kind,
        bytes: seen.text.length,
      });
      resolve(seen);
    };
    const outgoing = http.request({
      host,
      port,
      method,
      path,
      agent,
      headers: {
        host: HOST,
        'x-attempt-id': attempt,
        'x-deadline-ms': String(deadlineMs),
        ...(method === 'GET' ? {} : { 'content-length': String(body.length) }),
        ...headers,
      },
    });
    const timer = setTimeout(() => {
      end('gives up at its deadline');
      outgoing.destroy();
    }, deadlineMs);
    outgoing.on('response', (response) => {
      seen.status = response.statusCode;
      seen.isSealed = response.headers['x-server-seal'] !== undefined;
      seen.kind = response.headers['x-error-kind'];
      seen.headers = response.headers;
      response.setEncoding('latin1');
      response.on('data', (text) => {
        seen.text += text;
        request.onData?.(seen, outgoing);
      });
      response.on('end', () => {
        seen.isComplete = response.complete;
        end(response.complete ? 'whole answer' : 'answer cut off');
      });
      response.on('error', (fault) => end(`answer cut off: ${fault.code ?? fault.message}`));
    });
    outgoing.on('error', (fault) => {
      seen.isKept = outgoing.reusedSocket;
      end(`connection closed: ${fault.code ?? fault.message}`);
    });
    outgoing.on('socket', () => (seen.isKept = outgoing.reusedSocket));
    outgoing.end(body);
  });
}
