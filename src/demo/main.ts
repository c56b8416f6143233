/**
 * The demonstration: starts a whole system as separate processes, declares a
 * template and two tenants, and serves a request for a cold model end to end.
 */
import { execFile } from 'node:child_process';
import { writeFileSync } from 'node:fs';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';
import { callModel, promptAtEngine, type ModelResponse } from '../client/model-client.js';
import { hashKey } from '../core/admission/api-keys.js';
import { expectedAnswer } from '../standin/expected-answer.js';
import { ADMIN_KEY, LocalCluster, waitFor, type ClusterDaemon } from '../testbed/local-cluster.js';
import { exitOnSignals } from '../testbed/managed-process.js';

const execFileAsync = promisify(execFile);
const TENANT_KEY = 'shift-key';
const MAX_TOKENS = 64;
const IDLE_SECONDS = 2;

const DOCUMENTS = `
kind: Template
name: shift
parameters:
  - name: adapter
  - name: priority
    default: interactive
service:
  model: { name: shift-13b, gigabytes: 26 }
  adapters: [{ name: "\${adapter}", megabytes: 200 }]
  maxReplicas: 1
  priority: "\${priority}"
  keepAlive: { idleSeconds: ${IDLE_SECONDS} }
---
kind: Tenant
name: hospital-rabat
template: shift
parameters: { adapter: rabat, priority: live }
keyHashes: [${hashKey(TENANT_KEY)}]
---
kind: Tenant
name: factory-fes
template: shift
parameters: { adapter: fes }
keyHashes: [${hashKey('another-key')}]
`;

const startedAt = Date.now();

function printStep(step: string, milliseconds: number): void {
  const total = ((Date.now() - startedAt) / 1000).toFixed(1);
  process.stdout.write(`${total.padStart(5)} s  ${step.padEnd(58)} ${milliseconds} ms\n`);
}

async function timed<Value>(step: string, action: () => Promise<Value>): Promise<Value> {
  const stepStartedAt = Date.now();
  const value = await action();
  printStep(step, Date.now() - stepStartedAt);
  return value;
}

function expectCompleteAnswer(answer: ModelResponse, prompt: string): void {
  const expected = expectedAnswer(promptAtEngine(prompt), MAX_TOKENS);
  if (answer.outcome === 'whole' && answer.text === expected) return;
  throw new Error(
    `incomplete or unexpected answer: outcome ${answer.outcome}, status ${answer.status}: ${answer.reason}`,
  );
}

function callTenant(daemon: ClusterDaemon, prompt: string): Promise<ModelResponse> {
  return callModel({
    server: daemon.callers,
    key: TENANT_KEY,
    model: 'hospital-rabat',
    prompt,
    maxTokens: MAX_TOKENS,
    stream: true,
    timeoutMs: 20_000,
  });
}

function firstTokenMs(answer: ModelResponse): number {
  return (answer.firstTokenAt ?? answer.endedAt) - answer.startedAt;
}

async function demonstrate(cluster: LocalCluster): Promise<void> {
  const [first, , third] = cluster.daemons;
  if (first === undefined || third === undefined)
    throw new Error('the demonstration needs three daemons');
  const file = path.join(cluster.directory, 'tenants.yaml');
  writeFileSync(file, DOCUMENTS);
  const program = fileURLToPath(new URL('../cli/main.js', import.meta.url));
  await timed('a template and two tenants applied by the command line', () =>
    execFileAsync(process.execPath, [
      program,
      'apply',
      '-f',
      file,
      '-s',
      first.callers,
      '--key',
      ADMIN_KEY,
    ]),
  );
  await timed('the configuration is in force at another daemon', () =>
    waitFor('the tenant to be configured', 5_000, async () => {
      const answer = await callModel({
        server: third.callers,
        key: TENANT_KEY,
        model: 'factory-fes',
        prompt: 'is anybody there',
        maxTokens: 1,
        stream: false,
        timeoutMs: 2_000,
      });
      // The key belongs to another tenant, so the daemon refuses the request without running it.
      return answer.errorKind === 'forbidden';
    }),
  );
  const cold = await callTenant(third, 'who is on the night shift');
  expectCompleteAnswer(cold, 'who is on the night shift');
  printStep('a cold model: time to the first token', firstTokenMs(cold));
  printStep(`a cold model: the whole answer, ${cold.tokens} tokens`, cold.endedAt - cold.startedAt);
  const warm = await callTenant(third, 'and who is on call');
  expectCompleteAnswer(warm, 'and who is on call');
  printStep('the same model, warm: time to the first token', firstTokenMs(warm));
  await timed(`the idle model is released (keep-alive ${IDLE_SECONDS} s)`, () =>
    waitFor('the model to be released', 15_000, async () => {
      const reports = await Promise.all(cluster.engines.map((e) => cluster.engineStatus(e)));
      return reports.every((engine) => engine.holdings.length === 0);
    }),
  );
  await timed('a daemon stops as planned', async () => {
    first.process.signal('SIGTERM');
    const status = await first.process.waitForExit();
    if (status.code !== 0) throw new Error(`the daemon exited with code ${status.code}`);
  });
}

async function main(): Promise<void> {
  const zones = [{ zone: 'casablanca-a', site: 'old' }];
  const cluster = await timed('platform, weight store, two engines and three daemons are up', () =>
    LocalCluster.start({ zones, daemonsPerZone: 3, enginesPerZone: 2 }),
  );
  try {
    await demonstrate(cluster);
  } catch (fault) {
    for (const daemon of cluster.daemons) process.stderr.write(cluster.readLog(daemon.name));
    throw fault;
  } finally {
    await cluster.stop();
  }
  printStep('all processes have exited', Date.now() - startedAt);
}

exitOnSignals();
main().catch((fault: unknown) => {
  process.stderr.write(`failed: ${fault instanceof Error ? fault.message : String(fault)}\n`);
  process.exitCode = 1;
});
