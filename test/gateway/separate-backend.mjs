/**
 * A backend on a thread of its own, which goes on while the thread of the test is blocked. Sends `events` events every `gapMs`
 * milliseconds, or one plain answer after `gapMs` if `events` is 0. Posts its port, then the id of each request that it receives.
 */
import http from 'node:http';
import { clearInterval, setInterval, setTimeout } from 'node:timers';
import { parentPort, workerData } from 'node:worker_threads';

const { events, gapMs } = workerData;

function answer(request, response) {
  const id = request.headers['request-id'] ?? '';
  const headers = { signed: 'yes', 'request-id': id };
  if (events === 0) {
    setTimeout(() => response.writeHead(200, headers).end(`done ${id}`), gapMs);
    return;
  }
  response.writeHead(200, { ...headers, 'content-type': 'text/event-stream' });
  let event = 0;
  const timer = setInterval(() => {
    event += 1;
    response.write(`id: ${event}\ndata: ${event}\n\n`);
    if (event < events) return;
    clearInterval(timer);
    response.end();
  }, gapMs);
  response.on('close', () => clearInterval(timer));
}

const server = http.createServer((request, response) => {
  parentPort.postMessage({ arrival: request.headers['request-id'] });
  request.resume();
  request.on('end', () => answer(request, response));
});
server.listen(0, '127.0.0.1', () => parentPort.postMessage({ port: server.address().port }));
