/** Addresses of the form "ip:port", which settings, stores and other daemons name. */

const ADDRESS = /^\d{1,3}(?:\.\d{1,3}){3}:(\d{1,5})$/;
const MAX_PORT = 65_535;

/**
 * Whether a text is an IPv4 address with a port from 1 to 65535; the octets are not range-checked. Node's sockets throw for any
 * other port.
 */
export function isAddress(text: string): boolean {
  const port = Number(ADDRESS.exec(text)?.[1]);
  return port > 0 && port <= MAX_PORT;
}
