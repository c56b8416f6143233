/** A caller, after PROTOCOL.md: one try is one request with an id of its own, on a new connection. */
import http from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';
import { now } from './clock.mjs';

let lastId = 0;

/** Sends one try to a gateway; resolves with its status (0 if there was none), and whether the answer was whole. */
export function send(gateway, { path, headers, deadlineMs, record }) {
  lastId += 1;
  const id = `try-${lastId}`;
  const startedAt = now();
  return new Promise((resolve) => {
    const finish = (status, isWhole, retryAfterMs, kind = '') => {
      clearTimeout(timer);
      const milliseconds = Math.round(now() - startedAt);
      record.add('answered', { request: id, status, whole: isWhole, kind, milliseconds });
      resolve({ id, status, isWhole, isServed: status === 200 && isWhole, retryAfterMs });
    };
    const request = http.request({
      host: gateway.host,
      port: gateway.callersPort,
      method: 'POST',
      path,
      agent: false,
      headers: {
        Host: 'app.example',
        'X-Attempt-Id': id,
        'X-Deadline-Ms': String(deadlineMs),
        'Content-Length': '0',
        ...headers,
      },
    });
    const timer = setTimeout(() => {
      finish(0, false);
      request.destroy();
    }, deadlineMs);
    request.on('response', (response) => {
      const { statusCode, headers: received } = response;
      const retryAfterMs = Number(received['retry-after'] ?? 0) * 1_000;
      const end = () =>
        finish(statusCode, response.complete, retryAfterMs, received['x-error-kind']);
      response.resume();
      response.on('end', end);
      response.on('error', end);
    });
    request.on('error', () => finish(0, false));
    const what = headers['X-Model'] ?? '';
    record.add('sends', { request: id, machine: gateway.name, path, model: what });
    request.end();
  });
}
