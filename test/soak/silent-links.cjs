/**
 * Loaded before a gateway's program (`gateway-entry.cjs`), so that the links between gateways can fail
 * though nothing stands between them. The parent process sends what is to happen:
 * - `silence`: open connections with other gateways pass nothing more, without a reset; new ones work.
 * - `cut`: besides, new connections and datagrams pass nothing, until `heal`.
 * SOAK_PEER_PORTS names the ports on which gateways hear each other.
 */
const dgram = require('node:dgram');
const { subscribe } = require('node:diagnostics_channel');

const peerPorts = new Set((process.env.SOAK_PEER_PORTS ?? '').split(',').map(Number));
const open = new Set();
let isCut = false;

function follow({ socket }) {
  open.add(socket);
  socket.once('close', () => open.delete(socket));
  // A connection that is being made knows its ports only later.
  if (isCut) socket.once('connect', () => silenceIfPeer(socket));
  if (isCut) silenceIfPeer(socket);
}

function silenceIfPeer(socket) {
  if (peerPorts.has(socket.remotePort) || peerPorts.has(socket.localPort)) silence(socket);
}

function silence(socket) {
  socket.write = () => true;
  const push = socket.push.bind(socket);
  // What arrives is dropped; only the end of the connection passes.
  socket.push = (chunk) => (chunk === null ? push(null) : true);
}

/** Gateways send datagrams to each other alone. */
function loseDatagramsDuringCuts() {
  const { send, emit } = dgram.Socket.prototype;
  dgram.Socket.prototype.send = function (...rest) {
    if (!isCut) send.apply(this, rest);
  };
  dgram.Socket.prototype.emit = function (event, ...rest) {
    return isCut && event === 'message' ? false : emit.call(this, event, ...rest);
  };
}

subscribe('net.client.socket', follow);
subscribe('net.server.socket', follow);
loseDatagramsDuringCuts();

process.on('message', (wanted) => {
  isCut = wanted === 'cut';
  if (wanted === 'heal') return;
  for (const socket of open) silenceIfPeer(socket);
});
// A gateway must not outlive a soak that was killed.
process.on('disconnect', () => process.exit());
// The way to the parent alone must not keep the program running.
process.channel?.unref();
