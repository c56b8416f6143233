/**
 * Loaded before a gateway's program (`gateway-entry.cjs`) to simulate a partition from all replicas without a proxy. The
 * parent process sends commands:
 * - `backends:hang`: open connections to replicas pass no more data, without a reset, and new ones never open.
 * - `backends:reset`: open connections are reset, and new ones are refused.
 * - `backends:refuse`: open connections keep working, and new ones are refused.
 * - `backends:heal`: new connections work again. Silent ones stay silent.
 * SOAK_OTHER_PORTS lists all ports to which a gateway connects that are not replicas.
 */
const net = require('node:net');
const { setImmediate } = require('node:timers');
const { subscribe } = require('node:diagnostics_channel');

const PREFIX = 'backends:';
const otherPorts = new Set((process.env.SOAK_OTHER_PORTS ?? '').split(',').map(Number));
/** Open connections to replicas. */
const open = new Set();
let condition = 'heal';

function isReplica(port) {
  return Number.isInteger(Number(port)) && !otherPorts.has(Number(port));
}

/** The port of net.Socket.prototype.connect's arguments, which net.connect passes as one normalized array. */
function portOf([first]) {
  const options = Array.isArray(first) ? first[0] : first;
  return typeof options === 'object' ? options?.port : options;
}

function faultOf(code, call) {
  return Object.assign(new Error(`${call} ${code}`), { code });
}

const { connect } = net.Socket.prototype;
net.Socket.prototype.connect = function (...rest) {
  if (condition === 'heal' || !isReplica(portOf(rest))) return connect.apply(this, rest);
  this.connecting = true;
  // A connection that hangs stays in this state until its owner closes it.
  if (condition !== 'hang') {
    setImmediate(() => this.destroy(faultOf('ECONNREFUSED', 'connect')));
  }
  return this;
};

subscribe('net.client.socket', ({ socket }) => {
  socket.once('connect', () => {
    if (!isReplica(socket.remotePort)) return;
    open.add(socket);
    socket.once('close', () => open.delete(socket));
  });
});

function silence(socket) {
  socket.write = () => true;
  const push = socket.push.bind(socket);
  socket.push = (chunk) => (chunk === null ? push(null) : true);
}

process.on('message', (command) => {
  if (typeof command !== 'string' || !command.startsWith(PREFIX)) return;
  condition = command.slice(PREFIX.length);
  for (const socket of open) {
    if (condition === 'hang') silence(socket);
    if (condition === 'reset') socket.destroy(faultOf('ECONNRESET', 'read'));
  }
});
