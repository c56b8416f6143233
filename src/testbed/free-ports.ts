/** Free loopback ports for processes that are about to start. */
import dgram from 'node:dgram';
import net from 'node:net';

/**
 * Finds ports that are free for TCP and UDP. Binds all of them until the search ends, so that
 * no port is returned twice.
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers: net.Server[] = [];
  const ports: number[] = [];
  while (ports.length < count) {
    const server = net.createServer();
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    servers.push(server);
    const address = server.address();
    const port = typeof address === 'object' && address !== null ? address.port : 0;
    if (await isFreeForUdp(port)) ports.push(port);
  }
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
}

function isFreeForUdp(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = dgram.createSocket('udp4');
    socket.once('error', () => resolve(false));
    socket.bind(port, '127.0.0.1', () => socket.close(() => resolve(true)));
  });
}
