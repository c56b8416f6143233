/**
 * A caller on a thread of its own, which goes on while the thread of the test is blocked. On a message `{ afterMs }` it connects after
 * that time and writes one request. Posts what it has received once the connection is closed.
 */
import net from 'node:net';
import { setTimeout } from 'node:timers';
import { parentPort, workerData } from 'node:worker_threads';

const { host, port } = workerData;
const REQUEST =
  'POST /work/x HTTP/1.1\r\nhost: service.test\r\nrequest-id: late\r\ndeadline: 1000\r\ncontent-length: 0\r\n\r\n';

function call() {
  let received = '';
  const socket = net.connect({ host, port });
  socket.on('connect', () => socket.write(REQUEST));
  socket.on('data', (chunk) => (received += chunk.toString()));
  socket.on('error', () => {});
  socket.on('close', () => parentPort.postMessage({ received }));
}

parentPort.on('message', ({ afterMs }) => setTimeout(call, afterMs));
parentPort.postMessage({ ready: true });
