/**
 * Loaded before a gateway's program (`node --import`): on SIGUSR2 its open connections with other
 * gateways go silent for good. They stay open, without a reset, and pass nothing either way;
 * new ones work. SOAK_PEER_PORTS names the ports on which gateways hear each other.
 */
import { subscribe } from 'node:diagnostics_channel';

const peerPorts = new Set((process.env.SOAK_PEER_PORTS ?? '').split(',').map(Number));
const open = new Set();

function follow({ socket }) {
  open.add(socket);
  socket.once('close', () => open.delete(socket));
}

function isBetweenGateways(socket) {
  return peerPorts.has(socket.remotePort) || peerPorts.has(socket.localPort);
}

function silence(socket) {
  socket.write = () => true;
  const push = socket.push.bind(socket);
  // What arrives is dropped; only the end of the connection passes.
  socket.push = (chunk) => (chunk === null ? push(null) : true);
}

subscribe('net.client.socket', follow);
subscribe('net.server.socket', follow);

process.on('SIGUSR2', () => {
  for (const socket of open) {
    if (isBetweenGateways(socket)) silence(socket);
  }
});
