/** A small deployment on loopback: a store, replicas and gateways, all ended with the script. */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { setTimeout } from 'node:timers';
import { Record } from './clock.mjs';
import { freePorts, Gateway } from './gateway.mjs';
import { Replica } from './replica.mjs';
import { Store } from './store.mjs';

/** A script runs for 120 seconds at most. */
const LONGEST_RUN_MS = 115_000;
const MAX_MACHINES = 24;

/** Exit codes of `run.sh`. */
export const HELD = 0;
export const BROKEN = 1;
export const NOT_RUN = 2;

export class Scene {
  record = new Record();
  store = new Store();
  replicas = [];
  /** All gateways that were ever made. */
  gateways = [];
  #folder = mkdtempSync(path.join(tmpdir(), 'review-'));
  #network = `127.${10 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
  #ports;

  async open() {
    const hosts = Array.from({ length: MAX_MACHINES }, (_, index) => this.#host(index));
    this.#ports = await freePorts(hosts);
  }

  #host(index) {
    return `${this.#network}.${index + 1}`;
  }

  async addReplica(options) {
    const replica = new Replica({ store: this.store, record: this.record, ...options });
    await replica.start();
    this.replicas.push(replica);
    return replica;
  }

  /** Starts a machine of its own name and address. */
  async addGateway(options = {}) {
    const number = this.gateways.length;
    const gateway = new Gateway({
      name: `front-${number + 1}`,
      host: this.#host(number),
      ports: this.#ports,
      store: await this.store.listen(),
      folder: this.#folder,
      record: this.record,
      ...options,
    });
    this.gateways.push(gateway);
    gateway.start();
    return gateway;
  }

  async close() {
    await Promise.all(this.gateways.map((gateway) => gateway.end()));
    for (const replica of this.replicas) replica.close();
    this.store.close();
    rmSync(this.#folder, { recursive: true, force: true });
  }
}

/**
 * Plays a case and ends the process with its exit code.
 *
 * @param name - Folder of the case.
 * @param play - Called with the scene and whether to bring the trouble; resolves with an exit code.
 */
export async function runCase(name, play) {
  const scene = new Scene();
  const end = async (code) => {
    await scene.close();
    scene.record.add('ends', { code });
    scene.record.save(path.join('review', name, 'record.txt'));
    process.exit(code);
  };
  process.once('exit', () => scene.gateways.forEach((gateway) => gateway.kill()));
  for (const signal of ['SIGTERM', 'SIGINT']) process.once(signal, () => void end(NOT_RUN));
  setTimeout(() => {
    scene.record.add('takes_too_long');
    void end(NOT_RUN);
  }, LONGEST_RUN_MS).unref();
  try {
    await scene.open();
    await end(await play(scene, process.env.TROUBLE !== '0'));
  } catch (fault) {
    scene.record.add('fault', { message: String(fault) });
    await end(NOT_RUN);
  }
}
