/** One gateway, started with the command and the settings template of the deploy file. */
import { spawn } from 'node:child_process';
import { closeSync, openSync, readFileSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import path from 'node:path';
import { now, sleep } from './clock.mjs';

const DEPLOY_FILE = 'deploy/system.toml';
const TEMPLATE = 'deploy/settings.json';

/** Figures of the small sites (SYSTEM.md). */
const BOUNDS = {
  graceS: 8,
  budgetRatio: 0.2,
  budgetWindowS: 10,
  budgetSlack: 52,
  ceilingWindowS: 5,
  ceilingExcess: 1.1,
  configMs: 2_000,
  requireFencing: true,
};
const LIMITS = { cpuShare: 0.675, cores: 1, memoryMb: 350, maxFds: 4_100 };

/** Finds ports that are free on all hosts; two that follow each other for the daemons. */
export async function freePorts(hosts) {
  for (;;) {
    const first = 20_000 + Math.floor(Math.random() * 30_000);
    const ports = { peer: first, callers: first + 2, readiness: first + 3 };
    const checks = hosts.flatMap((host) =>
      [first, first + 1, first + 2, first + 3].map((port) => isFree(host, port)),
    );
    if ((await Promise.all(checks)).every((free) => free)) return ports;
  }
}

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

export class Gateway {
  #child;
  #isEnded = false;
  #options;
  /** Ends of its processes that the script did not cause. */
  unexpectedExits = [];

  /**
   * @param options.name - Name of the machine.
   * @param options.host - Its loopback address.
   * @param options.ports - Of {@link freePorts}, alike on all machines.
   * @param options.store - "ip:port" of the store.
   * @param options.folder - Temporary folder for settings and logs.
   */
  constructor(options) {
    this.#options = options;
    const { name, host, ports, store, folder, bounds = {} } = options;
    const fields = {
      nodeName: name,
      ip: host,
      zone: options.zone ?? 'zone-a',
      limits: LIMITS,
      internalPorts: [ports.peer, ports.peer + 15],
      listen: {
        front: `${host}:${ports.callers}`,
        readyAddr: `${host}:${ports.readiness}`,
      },
      platform: { address: store },
      bounds: { ...BOUNDS, ...bounds },
    };
    const settings = fillTemplate(readFileSync(TEMPLATE, 'utf8'), fields);
    this.settingsFile = path.join(folder, `${name}.json`);
    writeFileSync(this.settingsFile, settings);
    this.logFile = path.join(folder, `${name}.log`);
  }

  get name() {
    return this.#options.name;
  }

  get host() {
    return this.#options.host;
  }

  get callersPort() {
    return this.#options.ports.callers;
  }

  get pid() {
    return this.#child?.pid;
  }

  /** Starts a process; one that ends by itself is started again, as on the platform. */
  start() {
    const [, run = ''] = /^run = "(.*)"$/m.exec(readFileSync(DEPLOY_FILE, 'utf8')) ?? [];
    const [program, ...words] = run.split(' ');
    const log = openSync(this.logFile, 'a');
    const { PATH, HOME, LANG } = process.env;
    const env = { PATH, HOME, LANG, SCALESLIP_SETTINGS: this.settingsFile };
    const child = spawn(program, words, { stdio: ['ignore', log, log], env });
    closeSync(log);
    this.#child = child;
    child.once('exit', (code, signal) => {
      if (this.#isEnded) return;
      this.unexpectedExits.push({ at: Math.round(now()), code, signal });
      this.#options.record.add('ended_by_itself', { machine: this.name, code, signal });
      sleep(200).then(() => {
        if (!this.#isEnded) this.start();
      });
    });
  }

  /** Kills the process for good: the machine is gone. */
  async end() {
    this.#isEnded = true;
    const child = this.#child;
    if (child === undefined || child.exitCode !== null || child.signalCode !== null) return;
    const ended = new Promise((resolve) => child.once('exit', resolve));
    child.kill('SIGKILL');
    await ended;
  }

  /** Kills the process without waiting for its end. */
  kill() {
    this.#isEnded = true;
    this.#child?.kill('SIGKILL');
  }

  isReady() {
    const { host, ports } = this.#options;
    const target = { host, port: ports.readiness, path: '/-/readiness', timeout: 500 };
    return new Promise((resolve) => {
      const request = http.get(target, (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      });
      request.on('timeout', () => request.destroy());
      request.on('error', () => resolve(false));
    });
  }

  /** Resolves with whether it was ready within some milliseconds. */
  async untilReady(milliseconds = 15_000) {
    const until = now() + milliseconds;
    while (now() < until) {
      if (await this.isReady()) return true;
      await sleep(100);
    }
    return false;
  }
}

/** Fills a template as DEPLOY.md tells: values, JSON values, and parts that stand once where a value is true or given, or not. */
function fillTemplate(template, fields) {
  const valueOf = (name) => name.split('.').reduce((value, key) => value?.[key], fields);
  const isGiven = (name) => ![undefined, false, null].includes(valueOf(name));
  return template
    .replace(/\{\{#([\w.]+)\}\}([^]*?)\{\{\/\1\}\}/g, (_, name, part) =>
      isGiven(name) ? part : '',
    )
    .replace(/\{\{\^([\w.]+)\}\}([^]*?)\{\{\/\1\}\}/g, (_, name, part) =>
      isGiven(name) ? '' : part,
    )
    .replace(/\{\{([\w.]+)\|json\}\}/g, (_, name) => JSON.stringify(valueOf(name)))
    .replace(/\{\{([\w.]+)\}\}/g, (_, name) => String(valueOf(name)));
}
