/**
 * Loopback ports for gateways that start again and again. They lie below those that the system
 * gives to outgoing connections: one of these could take a port while its gateway is down.
 */
import dgram from 'node:dgram';
import net from 'node:net';

const LOWEST_PORT = 10_000;
/** Linux gives out ports from 32,768 on (`ip_local_port_range`). */
const PORTS = 20_000;
const HOST = '127.0.0.1';

/** Finds ports that are free for TCP and UDP, from a random one on: other soaks may run beside. */
export async function findSoakPorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  let offset = Math.floor(Math.random() * PORTS);
  while (ports.length < count) {
    offset = (offset + 1) % PORTS;
    const port = LOWEST_PORT + offset;
    if ((await isFreeForStreams(port)) && (await isFreeForDatagrams(port))) ports.push(port);
  }
  return ports;
}

function isFreeForStreams(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, HOST, () => server.close(() => resolve(true)));
  });
}

function isFreeForDatagrams(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = dgram.createSocket('udp4');
    socket.once('error', () => resolve(false));
    socket.bind(port, HOST, () => socket.close(() => resolve(true)));
  });
}
