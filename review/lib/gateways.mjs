/**
 * Gateways as processes of their own: started with the command of the deploy file, with the settings template of the
 * repository filled from settings like those of DEPLOY.md. A process that ends is started again, as the platform does.
 */
import { spawn } from 'node:child_process';
import { closeSync, openSync, readFileSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import path from 'node:path';
import { setTimeout } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';

const RESTART_DELAY_MS = 150;

/** All running gateways: killed when the case's process ends, so that none outlives it. */
const running = new Set();
process.once('exit', () => {
  for (const child of running) child.kill('SIGKILL');
});
const TEMPLATE = 'deploy/settings.json';

/** Fills a template as DEPLOY.md describes. */
export function fill(template, fields) {
  const sections = /\{\{([#^])([\w.]+)\}\}([\s\S]*?)\{\{\/\2\}\}/g;
  const text = template.replace(sections, (_all, sign, name, inner) => {
    const value = lookUp(fields, name);
    const isGiven = value !== undefined && value !== null && value !== false;
    return (sign === '#') === isGiven ? fill(inner, fields) : '';
  });
  return text.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_all, name, asJson) => {
    const value = lookUp(fields, name);
    if (asJson !== undefined) return JSON.stringify(value);
    return typeof value === 'object' ? JSON.stringify(value) : String(value ?? '');
  });
}

function lookUp(fields, name) {
  return name.split('.').reduce((value, part) => value?.[part], fields);
}

/** The bounds of the small sites atlas-shifts and veski-rvk. */
const BOUNDS = {
  seedLagS: 3,
  reuseAfterS: 2,
  contactMs: 3000,
  ackMs: 4000,
  catchUpS: 4,
  drainMs: 2000,
  graceS: 8,
  lossSlackMs: 200,
  configMs: 2000,
  rollbackSlackMs: 250,
  maxStretchMs: 5000,
  budgetRatio: 0.2,
  budgetWindowS: 10,
  budgetSlack: 52,
  recoveryS: 12,
  passMs: 120,
  retryAfterS: 0,
  requireFencing: true,
  leaseMs: 3000,
  thawSlackMs: 300,
  ceilingWindowS: 5,
  ceilingExcess: 1.1,
};

/** Returns the first of `count` neighbouring ports that are free on a host. */
async function freePorts(host, count) {
  for (;;) {
    const first = 20_000 + Math.floor(Math.random() * 20_000);
    const free = await Promise.all(
      Array.from({ length: count }, (_, index) => isFree(host, first + index)),
    );
    if (free.every(Boolean)) return first;
  }
}

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** One gateway and its restarts. */
export class GatewayProcess {
  constructor(options) {
    this.options = options;
    this.exits = [];
    this.isEnded = false;
  }

  get name() {
    return this.options.name;
  }

  /** @param options name, host (a loopback address of its own), zone, store, folder, bounds, onExit */
  static async create(options) {
    const gateway = new GatewayProcess(options);
    const { name, host, zone = 'zone-a', store, folder, bounds = {} } = options;
    const first = await freePorts(host, 24);
    gateway.address = `${host}:${first + 20}`;
    gateway.readiness = `${host}:${first + 21}`;
    const fields = {
      nodeName: name,
      role: 'gateway',
      machineClass: 'front',
      serves: ['front'],
      ip: host,
      zone,
      region: 'region-a',
      listen: { front: gateway.address, readyAddr: gateway.readiness },
      internalPorts: [first, first + 15],
      seeds: [],
      limits: { cpuShare: 0.675, cores: 1, memoryMb: 350, maxFds: 4100, linkMbps: 1000, diskMb: 0 },
      bounds: { ...BOUNDS, ...bounds },
      platform: { address: store, form: 'objects', writes_per_s: 400, reads_per_s: 2000 },
    };
    gateway.settingsFile = path.join(folder, `${name}.json`);
    gateway.logFile = path.join(folder, `${name}.log`);
    writeFileSync(gateway.settingsFile, fill(readFileSync(TEMPLATE, 'utf8'), fields));
    return gateway;
  }

  start() {
    const log = openSync(this.logFile, 'a');
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(
      process.execPath,
      ['--max-old-space-size=160', 'target/scaleslip-gateway.cjs'],
      {
        stdio: ['ignore', log, log],
        env: {
          ...(PATH === undefined ? {} : { PATH }),
          ...(HOME === undefined ? {} : { HOME }),
          ...(LANG === undefined ? {} : { LANG }),
          SCALESLIP_SETTINGS: this.settingsFile,
        },
      },
    );
    closeSync(log);
    this.child = child;
    running.add(child);
    child.once('exit', (code, signal) => {
      running.delete(child);
      if (this.isEnded) return;
      this.exits.push({ code, signal });
      this.options.onExit?.({ gateway: this.name, code, signal });
      setTimeout(() => {
        if (!this.isEnded) this.start();
      }, RESTART_DELAY_MS);
    });
  }

  log() {
    return readFileSync(this.logFile, 'utf8');
  }

  async isReady() {
    const [host, port] = this.readiness.split(':');
    return new Promise((resolve) => {
      const request = http.get(
        { host, port, path: '/-/readiness', agent: false, timeout: 500 },
        (response) => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      request.on('timeout', () => request.destroy());
      request.on('error', () => resolve(false));
    });
  }

  async untilReady(limitMs = 15_000) {
    const until = Date.now() + limitMs;
    while (Date.now() < until) {
      if (await this.isReady()) return true;
      await sleep(100);
    }
    return false;
  }

  async end() {
    this.isEnded = true;
    const { child } = this;
    if (child === undefined || child.exitCode !== null || child.signalCode !== null) return;
    await new Promise((resolve) => {
      child.once('exit', resolve);
      child.kill('SIGKILL');
    });
  }
}
