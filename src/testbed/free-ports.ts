/**
 * Free loopback ports for processes that are about to start, or restart repeatedly. The ports lie below the ephemeral range, because
 * an outgoing connection could otherwise take a port while its process does not run.
 */
import dgram from 'node:dgram';
import net from 'node:net';

const LOWEST_PORT = 10_000;
/** Size of the port range. It ends below 32,768, where the ephemeral ports of Linux begin (`ip_local_port_range`). */
const PORT_COUNT = 20_000;
const HOST = '127.0.0.1';
/**
 * A loopback address that nothing else uses. A program listens there on each port that it takes, until it exits: its child processes
 * can use the port, and a program that searches at the same time sees that it is taken.
 */
const RESERVATION_HOST = '127.255.0.1';

/** The reservations of this process, by port. */
const held = new Map<number, net.Server>();

/**
 * Finds ports that are free for TCP and UDP, and reserves them for this process until they are released. The search starts at a random
 * port, as other programs may search in parallel. Throws if there are too few.
 *
 * @param width - Number of consecutive free ports that each returned port begins.
 */
export async function findFreePorts(count: number, width = 1): Promise<number[]> {
  const ports: number[] = [];
  let offset = Math.floor(Math.random() * PORT_COUNT);
  for (let searched = 0; ports.length < count; searched += width) {
    if (searched > PORT_COUNT) throw new Error('too few free ports');
    offset = (offset + width) % (PORT_COUNT - width);
    const port = LOWEST_PORT + offset;
    if (await reserveFree(port, width)) ports.push(port);
  }
  return ports;
}

/** Releases reserved ports that are not needed any more. A process that finds ports again and again would otherwise take all. */
export function releasePorts(ports: readonly number[]): void {
  for (const port of ports) {
    held.get(port)?.close();
    held.delete(port);
  }
}

/** Reserves consecutive ports and checks that no other program uses them. Takes none if one of them is taken. */
async function reserveFree(first: number, width: number): Promise<boolean> {
  const reserved: number[] = [];
  for (let port = first; port < first + width; port++) {
    const isReserved = await reserve(port);
    if (isReserved) reserved.push(port);
    if (!isReserved || !(await isFreeForStreams(port)) || !(await isFreeForDatagrams(port))) {
      releasePorts(reserved);
      return false;
    }
  }
  return true;
}

/** Returns false if this process or another one has reserved the port. */
function reserve(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, RESERVATION_HOST, () => {
      held.set(port, server.unref());
      resolve(true);
    });
  });
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
