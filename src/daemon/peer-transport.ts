/**
 * Transport for messages between daemons: probes as single UDP datagrams, all other
 * messages as size-delimited protobuf messages over TCP, on the same port number. A TCP
 * connection carries messages in one direction and one-byte acknowledgements in the other.
 */
import dgram from 'node:dgram';
import net from 'node:net';
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { sizeDelimitedEncode, sizeDelimitedPeek } from '@bufbuild/protobuf/wire';
import { isAddress } from '../common/address.js';
import { splitAddress } from '../common/http-client.js';
import type { LinkFaults } from '../common/link-faults.js';
import { faultText, type Logger } from '../common/logger.js';
import { startReplyTimeout, type ReplyTimeout } from '../common/reply-timeout.js';
import { EnvelopeSchema, type Envelope } from '../proto/gen/internal_pb.js';

/** Maximum size of a message; a larger length prefix is treated as malformed data. */
const MAX_MESSAGE_BYTES = 8 * 1024 * 1024;
/** Bytes queued for a peer that does not read, above which the connection is closed. */
const MAX_BACKLOG_BYTES = 32 * 1024 * 1024;
const CONNECT_TIMEOUT_MS = 2_000;
/** Milliseconds without traffic after which a connection is closed. */
const IDLE_TIMEOUT_MS = 60_000;
/**
 * Milliseconds after which a receiver acknowledges, with one byte, all data received until then.
 */
const ACKNOWLEDGEMENT_DELAY_MS = 500;
/**
 * Milliseconds without an acknowledgement of sent data after which a connection is closed; the
 * next message opens a new one. A connection may stop delivering data permanently without a
 * reset, which Node's TCP keep-alive detects only after 11 s.
 */
const ACKNOWLEDGEMENT_TIMEOUT_MS = 1_800;
const ACKNOWLEDGEMENT = new Uint8Array(1);
/** Size of the IP and UDP headers, added to the byte count of each datagram. */
const DATAGRAM_HEADER_BYTES = 28;

/** The body of a message between daemons. */
export type PeerBody = Exclude<Envelope['body'], { case: undefined }>;

/** Handles a received message. */
export type PeerHandler = (from: string, body: PeerBody) => void;

/** Traffic counters of a transport. */
export interface TransportCounts {
  bytesSent: number;
  bytesReceived: number;
  messagesSent: number;
  messagesReceived: number;
}

/** Encodes an envelope, with or without a length prefix. */
type EnvelopeEncoder = (schema: typeof EnvelopeSchema, envelope: Envelope) => Uint8Array;

/** Options of {@link PeerTransport}. */
export interface PeerTransportOptions {
  /** IPv4 address to listen on, and to use as the sender address. */
  readonly host: string;
  /** Port for TCP and UDP. */
  readonly port: number;
  readonly logger: Logger;
  readonly faults: LinkFaults;
  readonly onMessage: PeerHandler;
  /** Called when the TCP connection to a peer has failed or closed. */
  readonly onDisconnect: (address: string) => void;
}

/** Sends and receives messages of one daemon. */
export class PeerTransport {
  /** The address of this daemon for other daemons, as "ip:port". */
  readonly address: string;
  readonly counts: TransportCounts = {
    bytesSent: 0,
    bytesReceived: 0,
    messagesSent: 0,
    messagesReceived: 0,
  };
  private readonly connections = new Map<string, net.Socket>();
  private readonly incoming = new Set<net.Socket>();
  /** Acknowledgement timeouts of connections with unacknowledged data. */
  private readonly acknowledgementTimeouts = new Map<net.Socket, ReplyTimeout>();
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

  /** Sends a message over TCP. The message is lost if the peer cannot be reached. */
  send(to: string, body: PeerBody): void {
    this.sendToAll([to], body);
  }

  /** Sends one message to several peers over TCP, encoding it only once. */
  sendToAll(addresses: readonly string[], body: PeerBody): void {
    const bytes = this.encode(body, sizeDelimitedEncode);
    if (bytes === undefined) return;
    for (const to of addresses) {
      if (this.stopped || this.options.faults.blocksOutbound(to) || !this.isSendable(to)) continue;
      if (to === this.address) setImmediate(() => this.options.onMessage(this.address, body));
      else this.write(to, bytes);
    }
  }

  /** Whether an address is well-formed: Node's sockets throw for one that is not, which would end the work of the sender. */
  private isSendable(to: string): boolean {
    if (isAddress(to)) return true;
    this.options.logger.warn('malformed_address', { to });
    return false;
  }

  private write(to: string, bytes: Uint8Array): void {
    const socket = this.connections.get(to) ?? this.connect(to);
    if (socket.writableLength > MAX_BACKLOG_BYTES) {
      socket.destroy();
      return;
    }
    socket.write(bytes);
    this.expectAcknowledgement(to, socket);
    this.countSent(bytes.length);
  }

  private expectAcknowledgement(to: string, socket: net.Socket): void {
    if (this.acknowledgementTimeouts.has(socket)) return;
    const timeout = startReplyTimeout(ACKNOWLEDGEMENT_TIMEOUT_MS, () => {
      this.options.logger.warn('peer_silent', {
        peer: to,
        milliseconds: ACKNOWLEDGEMENT_TIMEOUT_MS,
      });
      socket.destroy();
    });
    this.acknowledgementTimeouts.set(socket, timeout);
  }

  private clearAcknowledgementTimeout(socket: net.Socket): void {
    this.acknowledgementTimeouts.get(socket)?.cancel();
    this.acknowledgementTimeouts.delete(socket);
  }

  /** Sends a message as one datagram. */
  sendDatagram(to: string, body: PeerBody): void {
    if (this.stopped || this.options.faults.blocksOutbound(to) || !this.isSendable(to)) return;
    const [host, port] = splitAddress(to);
    const bytes = this.encode(body, toBinary);
    if (bytes === undefined) return;
    this.datagrams.send(bytes, port, host, () => {
      // A send error counts as a lost datagram, which the membership protocol tolerates.
    });
    this.countSent(bytes.length + DATAGRAM_HEADER_BYTES);
  }

  /**
   * Encodes a message. Returns undefined for one with a value that its field cannot hold, such as an infinite integer: it is
   * lost like one that no peer receives, which all protocols tolerate. The daemon goes on serving its callers.
   */
  private encode(body: PeerBody, encode: EnvelopeEncoder): Uint8Array | undefined {
    try {
      return encode(EnvelopeSchema, create(EnvelopeSchema, { from: this.address, body }));
    } catch (fault) {
      this.options.logger.error('message_not_encoded', {
        message: body.case,
        reason: faultText(fault),
      });
      return undefined;
    }
  }

  private countSent(bytes: number): void {
    this.counts.bytesSent += bytes;
    this.counts.messagesSent += 1;
  }

  private connect(to: string): net.Socket {
    const [host, port] = splitAddress(to);
    const socket = net.connect({ host, port, noDelay: true });
    this.connections.set(to, socket);
    const timeout = startReplyTimeout(CONNECT_TIMEOUT_MS, () => {
      if (socket.connecting) socket.destroy();
    });
    socket.setTimeout(IDLE_TIMEOUT_MS, () => socket.end());
    socket.on('error', () => {
      // The `close` event follows and does the cleanup.
    });
    socket.on('close', () => {
      timeout.cancel();
      this.clearAcknowledgementTimeout(socket);
      if (this.connections.get(to) === socket) this.connections.delete(to);
      if (!this.stopped) this.options.onDisconnect(to);
    });
    socket.on('data', () => this.clearAcknowledgementTimeout(socket));
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
      }, ACKNOWLEDGEMENT_DELAY_MS);
      this.counts.bytesReceived += chunk.length;
      const bytes = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
      const consumed = this.consumeMessages(bytes, socket);
      rest = bytes.subarray(consumed);
    });
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      clearTimeout(acknowledgement);
      this.incoming.delete(socket);
    });
  }

  /**
   * Handles all complete messages at the start of `bytes`. Returns the number of bytes consumed.
   */
  private consumeMessages(bytes: Uint8Array, socket: net.Socket): number {
    let position = 0;
    for (;;) {
      const head = peekSize(bytes.subarray(position));
      if (head === undefined) {
        this.rejectMalformed(socket, 'no length prefix');
        return bytes.length;
      }
      if (head.eof) return position;
      if (head.size > MAX_MESSAGE_BYTES) {
        this.rejectMalformed(socket, `a message of ${head.size} bytes`);
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
    if (!isAddress(envelope.from)) return this.rejectMalformed(socket, 'a malformed sender');
    if (this.options.faults.blocksInbound(envelope.from)) return;
    this.counts.messagesReceived += 1;
    this.options.onMessage(envelope.from, envelope.body);
  }

  private decode(bytes: Uint8Array, socket: net.Socket | undefined): Envelope | undefined {
    try {
      return fromBinary(EnvelopeSchema, bytes);
    } catch {
      this.rejectMalformed(socket, 'a message that cannot be decoded');
      return undefined;
    }
  }

  private rejectMalformed(socket: net.Socket | undefined, reason: string): void {
    this.options.logger.warn('garbage_received', { reason });
    socket?.destroy();
  }
}

/** Decodes the length prefix at the start of `bytes`; undefined if it is invalid. */
function peekSize(bytes: Uint8Array): ReturnType<typeof sizeDelimitedPeek> | undefined {
  try {
    return sizeDelimitedPeek(bytes);
  } catch {
    return undefined;
  }
}
