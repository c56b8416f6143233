import { execFile } from 'node:child_process';
import { writeFileSync } from 'node:fs';
import net from 'node:net';
import path from 'node:path';
import { promisify } from 'node:util';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { AdminClient } from '../../src/client/admin-client.js';
import { callModel, promptAtEngine, type ModelCall } from '../../src/client/model-client.js';
import { HttpClient, parseJson, splitAddress } from '../../src/common/http-client.js';
import { hashKey } from '../../src/core/admission/api-keys.js';
import { expectedAnswer } from '../../src/standin/expected-answer.js';
import { ADMIN_KEY, LocalCluster, waitFor } from '../../src/testbed/local-cluster.js';

const run = promisify(execFile);
const KEY = 'till-key';
const TEMPLATE = {
  kind: 'Template',
  name: 'service',
  service: { model: { name: 'm', gigabytes: 1 }, keepAlive: { policy: 'forever' } },
};

function tenant(name: string, key: string): object {
  return { kind: 'Tenant', name, template: 'service', keyHashes: [hashKey(key)] };
}

describe('bad input', () => {
  let cluster: LocalCluster;
  let server = '';
  const http = new HttpClient();

  beforeAll(async () => {
    cluster = await LocalCluster.start({
      zones: [{ zone: 'a', site: 'old' }],
      daemonsPerZone: 1,
      enginesPerZone: 1,
      extraSettings: { bodyLimitBytes: 20_000 },
    });
    server = cluster.daemons[0]?.callers ?? '';
    const client = new AdminClient(server, ADMIN_KEY);
    await client.put('templates', 'service', TEMPLATE);
    await client.put('tenants', 'till', tenant('till', KEY));
    await client.put('tenants', 'other', tenant('other', 'other-key'));
    client.close();
    await waitFor('the tenants', 10_000, async () => (await callTill({})).outcome === 'whole');
  });

  afterAll(async () => {
    http.close();
    await cluster.stop();
  });

  function callTill(part: Partial<ModelCall>): ReturnType<typeof callModel> {
    const call = { server, key: KEY, model: 'till', prompt: 'hello', maxTokens: 8, stream: false };
    return callModel({ ...call, timeoutMs: 10_000, ...part });
  }

  async function post(body: string): Promise<{ status: number; kind: string }> {
    const [host, port] = splitAddress(server);
    const response = await fetch(`http://${host}:${port}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${KEY}` },
      body,
    });
    return { status: response.status, kind: response.headers.get('x-error-kind') ?? '' };
  }

  async function expectAlive(): Promise<void> {
    const response = await callTill({});
    expect(response.outcome).toBe('whole');
    expect(response.text).toBe(expectedAnswer(promptAtEngine('hello'), 8));
  }

  it('answers malformed JSON with 400', async () => {
    expect(await post('{"model":')).toEqual({ status: 400, kind: 'malformed_request' });
  });

  it('answers a body that lacks its fields with 400', async () => {
    expect(await post('{"model":"till"}')).toEqual({ status: 400, kind: 'malformed_request' });
  });

  it('answers an oversized body with 413', async () => {
    expect(await post('x'.repeat(30_000))).toEqual({ status: 413, kind: 'body_too_large' });
  });

  it('reports a wrong key, a key of another tenant and an unknown model as different errors', async () => {
    expect((await callTill({ key: 'nobody' })).errorKind).toBe('unauthorized');
    expect((await callTill({ model: 'other' })).errorKind).toBe('forbidden');
    expect((await callTill({ model: 'nothing' })).errorKind).toBe('unknown_tenant');
  });

  it('refuses a header with an invalid value', async () => {
    const response = await callTill({ headers: { 'x-priority': 'urgent' } });
    expect(response.errorKind).toBe('malformed_request');
    expect(response.ran).toBe('no');
  });

  it('lists the models that a key is valid for', async () => {
    const headers = { authorization: `Bearer ${KEY}` };
    const request = { address: server, path: '/v1/models', headers, timeoutMs: 5_000 };
    const response = await http.send({ method: 'GET', ...request });
    const body = response.isOk ? parseJson(response.value.body).unwrapOr({}) : {};
    expect((body as { data: { id: string }[] }).data.map((model) => model.id)).toEqual(['till']);
  });

  it('refuses administration requests with a wrong key', async () => {
    const client = new AdminClient(server, 'wrong');
    const response = await client.status();
    client.close();
    expect(response.isErr && response.error.kind).toBe('unauthorized');
  });

  it('accepts one of two concurrent writes and reports the newer version to the other', async () => {
    const client = new AdminClient(server, ADMIN_KEY);
    const found = await client.get('tenants', 'other');
    const version = found.isOk ? found.value.version : 0;
    const document = tenant('other', 'other-key');
    const both = await Promise.all([
      client.put('tenants', 'other', document, version),
      client.put('tenants', 'other', document, version),
    ]);
    client.close();
    const winner = both.find((response) => response.isOk);
    const loser = both.find((response) => response.isErr);
    expect(winner?.isOk).toBe(true);
    expect(loser?.isErr && loser.error.kind).toBe('version_conflict');
    expect(loser?.isErr && loser.error.currentVersion).toBe(winner?.isOk && winner.value.version);
  });

  it('refuses a tenant that does not fit its template', async () => {
    const client = new AdminClient(server, ADMIN_KEY);
    const document = { ...tenant('new', 'k'), parameters: { unknown: 1 } };
    const response = await client.put('tenants', 'new', document);
    client.close();
    expect(response.isErr && response.error.kind).toBe('invalid_document');
    expect(response.isErr && response.error.message).toContain('"unknown"');
  });

  it('names the file and the document of malformed YAML', async () => {
    const file = path.join(cluster.directory, 'broken.yaml');
    writeFileSync(file, 'kind: Tenant\nname: [till\n');
    const program = path.resolve('bin/scaleslip.js');
    const args = [program, 'apply', '-f', file, '-s', server, '--key', ADMIN_KEY];
    const failure: unknown = await run(process.execPath, args).catch((fault: unknown) => fault);
    expect((failure as { stderr: string }).stderr).toContain('broken.yaml, document 1');
    expect((failure as { code: number }).code).toBe(1);
  });

  it('names the key of an unknown setting', async () => {
    const file = path.join(cluster.directory, 'wrong.yaml');
    writeFileSync(file, 'name: d\nadress: 127.0.0.1\n');
    const program = path.resolve('bin/scaleslip.js');
    const args = [program, 'daemon', '--settings', file];
    const failure: unknown = await run(process.execPath, args).catch((fault: unknown) => fault);
    expect((failure as { stderr: string }).stderr).toMatch(/wrong\.yaml.*adress/);
    expect((failure as { code: number }).code).toBe(1);
  });

  it('keeps serving after malformed data on its peer port', async () => {
    const [host, port] = splitAddress(cluster.daemons[0]?.peers ?? '');
    for (const garbage of [Buffer.alloc(64, 0xff), Buffer.from('GET / HTTP/1.1\r\n\r\n')]) {
      await new Promise<void>((resolve) => {
        const socket = net.connect(port, host, () => socket.write(garbage));
        socket.on('close', () => resolve());
        socket.on('error', () => resolve());
        setTimeout(() => socket.destroy(), 300);
      });
    }
    await expectAlive();
  });

  it('refuses requests while the engine sends malformed replies, and recovers', async () => {
    const [engine] = cluster.engines;
    if (engine === undefined) throw new Error('an engine');
    await cluster.setEngineFaults(engine, { nonsense: true });
    const response = await callTill({ headers: { 'x-deadline-ms': '3000' } });
    expect(response.outcome).toBe('refused');
    await cluster.setEngineFaults(engine, { nonsense: false });
    await waitFor('recovery', 10_000, async () => (await callTill({})).outcome === 'whole');
    await expectAlive();
  });
});
