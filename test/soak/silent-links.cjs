/**
 * Loaded before a gateway's program (`gateway-entry.cjs`) to simulate failed links between gateways without a
 * proxy. The parent process sends commands:
 * - `silence`: open connections to other gateways pass no more data, without a reset; new ones work.
 * - `cut`: like `silence`, and new connections and datagrams pass no data either, until `heal`.
 * SOAK_PEER_PORTS lists the ports on which gateways listen for each other.
 */
const dgram = require('node:dgram');
const { subscribe } = require('node:diagnostics_channel');

const peerPorts = new Set((process.env.SOAK_PEER_PORTS ?? '').split(',').map(Number));
const open = new Set();
let isCut = false;

function trackSocket({ socket }) {
  open.add(socket);
  socket.once('close', () => open.delete(socket));
  // The ports of an outgoing connection are known only once it is established.
  if (isCut) socket.once('connect', () => silenceIfPeer(socket));
  if (isCut) silenceIfPeer(socket);
}

function silenceIfPeer(socket) {
  if (peerPorts.has(socket.remotePort) || peerPorts.has(socket.localPort)) silence(socket);
}

function silence(socket) {
  socket.write = () => true;
  const push = socket.push.bind(socket);
  // Received data is dropped; only the end of the stream is passed on.
  socket.push = (chunk) => (chunk === null ? push(null) : true);
}

/** Drops all datagrams during a cut. Gateways send datagrams only to each other. */
function dropDatagramsDuringCuts() {
  const { send, emit } = dgram.Socket.prototype;
  dgram.Socket.prototype.send = function (...rest) {
    if (!isCut) send.apply(this, rest);
  };
  dgram.Socket.prototype.emit = function (event, ...rest) {
    return isCut && event === 'message' ? false : emit.call(this, event, ...rest);
  };
}

subscribe('net.client.socket', trackSocket);
subscribe('net.server.socket', trackSocket);
dropDatagramsDuringCuts();

process.on('message', (command) => {
  if (!['silence', 'cut', 'heal'].includes(command)) return;
  isCut = command === 'cut';
  if (command === 'heal') return;
  for (const socket of open) silenceIfPeer(socket);
});
// The gateway exits with its parent, so that no gateway outlives a killed soak test.
process.on('disconnect', () => process.exit());
// The IPC channel to the parent must not keep the process alive.
process.channel?.unref();
