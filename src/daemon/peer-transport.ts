/**
 * Messages between daemons: probes as single UDP datagrams, everything else
 * over TCP as size-delimited protobuf messages, on one port number. A connection
 * carries messages one way, and acknowledgements of one byte the other way.
 */
import dgram from 'node:dgram';
import net from 'node:net';
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { sizeDelimitedEncode, sizeDelimitedPeek } from '@bufbuild/protobuf/wire';
import { splitAddress } from '../common/http-client.js';
import type { LinkFaults } from '../common/link-faults.js';
import type { Logger } from '../common/logger.js';
import { EnvelopeSchema, type Envelope } from '../proto/gen/internal_pb.js';

/** Largest message that is read; a larger length prefix is garbage. */
const LARGEST_MESSAGE_BYTES = 8 * 1024 * 1024;
/** Bytes queued towards a peer that does not read, after which the connection is dropped. */
const LARGEST_BACKLOG_BYTES = 32 * 1024 * 1024;
const CONNECT_TIMEOUT_MS = 2_000;
/** Connections without traffic are closed after so long. */
const IDLE_MS = 60_000;
/** A receiver answers what it was sent with one byte, after so long for all of that time together. */
const ACKNOWLEDGE_AFTER_MS = 500;
/**
 * A connection on which nothing is acknowledged for so long is dropped, and the next message opens
 * a new one: a connection may go silent for good without a reset, which Node's own keep-alive shows
 * after 11 s only.
 */
const SILENT_MS = 1_800;
const ACKNOWLEDGEMENT = new Uint8Array(1);
/** Bytes of IP and UDP headers, counted with each datagram. */
const DATAGRAM_HEADER_BYTES = 28;

/** The body of a message between daemons. */
export type PeerBody = Exclude<Envelope['body'], { case: undefined }>;

/** Receives messages. */
export type PeerHandler = (from: string, body: PeerBody) => void;

/** What has passed through a transport. */
export interface TransportCounts {
  bytesSent: number;
  bytesReceived: number;
  messagesSent: number;
  messagesReceived: number;
}

/** Options of {@link PeerTransport}. */
export interface PeerTransportOptions {
  /** IP number to listen on, and to present. */
  readonly host: string;
  /** Port for TCP and UDP. */
  readonly port: number;
  readonly logger: Logger;
  readonly faults: LinkFaults;
  readonly onMessage: PeerHandler;
  /** A peer's TCP connection has failed or ended. */
  readonly onDisconnect: (address: string) => void;
}

/** Sends and receives messages of one daemon. */
export class PeerTransport {
  /** This daemon's peer address. */
  readonly address: string;
  readonly counts: TransportCounts = {
    bytesSent: 0,
    bytesReceived: 0,
    messagesSent: 0,
    messagesReceived: 0,
  };
  private readonly connections = new Map<string, net.Socket>();
  private readonly incoming = new Set<net.Socket>();
  /** Runs out when a peer does not acknowledge. */
  private readonly silenceTimers = new Map<net.Socket, NodeJS.Timeout>();
  private readonly server: net.Server;
  private readonly datagrams = dgram.createSocket('udp4');
  private stopped = false;

  constructor(private readonly options: PeerTransportOptions) {
    this.address = `${options.host}:${options.port}`;
    this.server = net.createServer((socket) => this.accept(socket));
    this.datagrams.on('message', (bytes) => this.receiveDatagram(bytes));
    this.datagrams.on('error', (fault) => {
      options.logger.warn('datagram_error', { reason: fault.message });
    });
  }

  /** Listens on TCP and UDP. */
  async start(): Promise<void> {
    const { host, port } = this.options;
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    await new Promise<void>((resolve, reject) => {
      this.datagrams.once('error', reject);
      this.datagrams.bind(port, host, resolve);
    });
  }

  /** Closes all sockets. */
  stop(): void {
    this.stopped = true;
    this.server.close();
    this.datagrams.close();
    for (const socket of this.connections.values()) socket.destroy();
    for (const socket of this.incoming) socket.destroy();
  }

  /** Sends a message over TCP; it is lost if the peer cannot be reached. */
  send(to: string, body: PeerBody): void {
    this.sendToAll([to], body);
  }

  /** Sends one message to several peers over TCP; it is encoded once. */
  sendToAll(addresses: readonly string[], body: PeerBody): void {
    const bytes = sizeDelimitedEncode(EnvelopeSchema, this.envelope(body));
    for (const to of addresses) {
      if (this.stopped || this.options.faults.blocksOutbound(to)) continue;
      if (to === this.address) setImmediate(() => this.options.onMessage(this.address, body));
      else this.write(to, bytes);
    }
  }

  private write(to: string, bytes: Uint8Array): void {
    const socket = this.connections.get(to) ?? this.connect(to);
    if (socket.writableLength > LARGEST_BACKLOG_BYTES) {
      socket.destroy();
      return;
    }
    socket.write(bytes);
    this.expectAcknowledgement(to, socket);
    this.countSent(bytes.length);
  }

  private expectAcknowledgement(to: string, socket: net.Socket): void {
    if (this.silenceTimers.has(socket)) return;
    const timer = setTimeout(() => {
      this.options.logger.warn('peer_silent', { peer: to, milliseconds: SILENT_MS });
      socket.destroy();
    }, SILENT_MS);
    this.silenceTimers.set(socket, timer);
  }

  private acknowledged(socket: net.Socket): void {
    clearTimeout(this.silenceTimers.get(socket));
    this.silenceTimers.delete(socket);
  }

  /** Sends a message as one datagram. */
  sendDatagram(to: string, body: PeerBody): void {
    if (this.stopped || this.options.faults.blocksOutbound(to)) return;
    const [host, port] = splitAddress(to);
    const bytes = toBinary(EnvelopeSchema, this.envelope(body));
    this.datagrams.send(bytes, port, host, () => {
      // A datagram that cannot be sent is a lost one; the protocol expects losses.
    });
    this.countSent(bytes.length + DATAGRAM_HEADER_BYTES);
  }

  private envelope(body: PeerBody): Envelope {
    return create(EnvelopeSchema, { from: this.address, body });
  }

  private countSent(bytes: number): void {
    this.counts.bytesSent += bytes;
    this.counts.messagesSent += 1;
  }

  private connect(to: string): net.Socket {
    const [host, port] = splitAddress(to);
    const socket = net.connect({ host, port, noDelay: true });
    this.connections.set(to, socket);
    const timer = setTimeout(() => {
      if (socket.connecting) socket.destroy();
    }, CONNECT_TIMEOUT_MS);
    socket.setTimeout(IDLE_MS, () => socket.end());
    socket.on('error', () => {
      // `close` follows and tells the rest.
    });
    socket.on('close', () => {
      clearTimeout(timer);
      this.acknowledged(socket);
      if (this.connections.get(to) === socket) this.connections.delete(to);
      if (!this.stopped) this.options.onDisconnect(to);
    });
    socket.on('data', () => this.acknowledged(socket));
    return socket;
  }

  private accept(socket: net.Socket): void {
    this.incoming.add(socket);
    let rest: Uint8Array = new Uint8Array(0);
    let acknowledgement: NodeJS.Timeout | undefined;
    socket.on('data', (chunk: Buffer) => {
      acknowledgement ??= setTimeout(() => {
        acknowledgement = undefined;
        if (socket.writable) socket.write(ACKNOWLEDGEMENT);
      }, ACKNOWLEDGE_AFTER_MS);
      this.counts.bytesReceived += chunk.length;
      const bytes = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
      const taken = this.takeMessages(bytes, socket);
      rest = bytes.subarray(taken);
    });
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      clearTimeout(acknowledgement);
      this.incoming.delete(socket);
    });
  }

  /** Handles all whole messages at the start of `bytes`; returns how many bytes they take. */
  private takeMessages(bytes: Uint8Array, socket: net.Socket): number {
    let position = 0;
    for (;;) {
      const head = peekSize(bytes.subarray(position));
      if (head === undefined) {
        this.rejectGarbage(socket, 'no length prefix');
        return bytes.length;
      }
      if (head.eof) return position;
      if (head.size > LARGEST_MESSAGE_BYTES) {
        this.rejectGarbage(socket, `a message of ${head.size} bytes`);
        return bytes.length;
      }
      const start = position + head.offset;
      if (start + head.size > bytes.length) return position;
      this.receive(bytes.subarray(start, start + head.size), socket);
      position = start + head.size;
    }
  }

  private receiveDatagram(bytes: Uint8Array): void {
    this.counts.bytesReceived += bytes.length + DATAGRAM_HEADER_BYTES;
    this.receive(bytes, undefined);
  }

  private receive(bytes: Uint8Array, socket: net.Socket | undefined): void {
    const envelope = this.decode(bytes, socket);
    if (envelope === undefined || envelope.body.case === undefined) return;
    if (this.options.faults.blocksInbound(envelope.from)) return;
    this.counts.messagesReceived += 1;
    this.options.onMessage(envelope.from, envelope.body);
  }

  private decode(bytes: Uint8Array, socket: net.Socket | undefined): Envelope | undefined {
    try {
      return fromBinary(EnvelopeSchema, bytes);
    } catch {
      this.rejectGarbage(socket, 'a message that cannot be decoded');
      return undefined;
    }
  }

  private rejectGarbage(socket: net.Socket | undefined, reason: string): void {
    this.options.logger.warn('garbage_received', { reason });
    socket?.destroy();
  }
}

/** The length prefix at the start of `bytes`; undefined if there is none. */
function peekSize(bytes: Uint8Array): ReturnType<typeof sizeDelimitedPeek> | undefined {
  try {
    return sizeDelimitedPeek(bytes);
  } catch {
    return undefined;
  }
}
