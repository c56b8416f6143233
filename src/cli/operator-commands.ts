/** Commands for operators, who declare templates and tenants but never place replicas. */
import { Command, Option } from 'commander';
import { stringify } from 'yaml';
import { AdminClient, collectionOf, type Collection } from '../client/admin-client.js';
import { serviceError } from '../common/errors.js';
import type { OperatorDocument } from '../core/documents.js';
import type { VersionedDocument } from '../daemon/admin-api.js';
import { hashKey } from '../core/admission/api-keys.js';
import { readText } from '../daemon/settings.js';
import type { StatusReport } from '../daemon/status.js';
import { readDocuments } from './document-files.js';
import { reportError, printJson, printTable, type OutputFormat } from './output.js';

interface ConnectionFlags {
  readonly server: string;
  readonly key?: string;
  readonly keyFile?: string;
  readonly output: OutputFormat;
}

function withConnection(command: Command): Command {
  return command
    .addOption(
      new Option('-s, --server <ip:port>', 'IPv4 address and caller port of any daemon')
        .env('SCALESLIP_SERVER')
        .default('127.0.0.1:7080'),
    )
    .addOption(new Option('--key <key>', 'administration key').env('SCALESLIP_ADMIN_KEY'))
    .option('--key-file <file>', 'file that contains the administration key')
    .addOption(
      new Option('-o, --output <form>', 'output format')
        .choices(['table', 'json'])
        .default('table'),
    );
}

async function withClient(
  flags: ConnectionFlags,
  action: (client: AdminClient) => Promise<void>,
): Promise<void> {
  const key = flags.keyFile === undefined ? undefined : readText(flags.keyFile);
  if (key?.isErr) return reportError(key.error);
  const client = new AdminClient(flags.server, key?.isOk ? key.value.trim() : (flags.key ?? ''));
  await action(client);
  client.close();
}

function collectionFor(kind: string): Collection | undefined {
  if (/^templates?$/i.test(kind)) return 'templates';
  if (/^tenants?$/i.test(kind)) return 'tenants';
  reportError(serviceError('malformed_request', `"${kind}": expected "template" or "tenant"`));
  return undefined;
}

/** Puts templates first, because tenants refer to them. */
function templatesFirst(documents: readonly OperatorDocument[]): OperatorDocument[] {
  const templates = documents.filter((document) => document.kind === 'Template');
  const tenants = documents.filter((document) => document.kind === 'Tenant');
  return [...templates, ...tenants];
}

async function applyFile(
  file: string,
  flags: ConnectionFlags & { ifVersion?: string },
): Promise<void> {
  const documents = readDocuments(file);
  if (documents.isErr) return reportError(documents.error);
  const version = flags.ifVersion === undefined ? undefined : Number(flags.ifVersion);
  await withClient(flags, async (client) => {
    const applied: { kind: string; name: string; version: number }[] = [];
    for (const document of templatesFirst(documents.value)) {
      const { kind, name } = document;
      const written = await client.put(collectionOf(document), name, document, version);
      if (written.isErr) return reportError(written.error);
      applied.push({ kind, name, version: written.value.version });
    }
    if (flags.output === 'json') return printJson(applied);
    printTable(
      ['KIND', 'NAME', 'VERSION'],
      applied.map((item) => [item.kind, item.name, String(item.version)]),
    );
  });
}

async function checkFile(
  file: string,
  flags: ConnectionFlags & { offline?: boolean },
): Promise<void> {
  const documents = readDocuments(file);
  if (documents.isErr) return reportError(documents.error);
  if (flags.offline !== true) {
    await withClient(flags, async (client) => {
      for (const document of documents.value) {
        const checked = await client.check(document);
        if (checked.isErr) return reportError(checked.error);
      }
    });
  }
  if (process.exitCode === undefined) {
    process.stdout.write(`${documents.value.length} documents are valid\n`);
  }
}

async function diffFile(file: string, flags: ConnectionFlags): Promise<void> {
  const documents = readDocuments(file);
  if (documents.isErr) return reportError(documents.error);
  await withClient(flags, async (client) => {
    for (const document of documents.value) {
      const found = await client.get(collectionOf(document), document.name);
      if (found.isErr && found.error.kind !== 'not_found') return reportError(found.error);
      const before = found.isOk ? stringify(found.value.document) : '';
      printDifference(`${document.kind} ${document.name}`, before, stringify(document));
    }
  });
}

/**
 * Prints removed lines with "-" and added lines with "+". The line-by-line search is quadratic, but
 * documents are small.
 */
function printDifference(title: string, before: string, after: string): void {
  if (before === after) {
    process.stdout.write(`${title}: no difference\n`);
    return;
  }
  const oldLines = before.split('\n').filter((line) => line !== '');
  const newLines = after.split('\n').filter((line) => line !== '');
  process.stdout.write(`${title}:\n`);
  for (const line of oldLines) if (!newLines.includes(line)) process.stdout.write(`- ${line}\n`);
  for (const line of newLines) if (!oldLines.includes(line)) process.stdout.write(`+ ${line}\n`);
}

function summaryRow(item: VersionedDocument): string[] {
  const document = item.document as OperatorDocument;
  const template = document.kind === 'Tenant' ? document.template : '-';
  return [document.kind, document.name, template, String(item.version)];
}

async function getDocuments(
  kind: string,
  name: string | undefined,
  flags: ConnectionFlags,
): Promise<void> {
  const collection = collectionFor(kind);
  if (collection === undefined) return;
  await withClient(flags, async (client) => {
    const found =
      name === undefined
        ? await client.list(collection)
        : (await client.get(collection, name)).map((item) => [item]);
    if (found.isErr) return reportError(found.error);
    if (flags.output === 'json') return printJson(found.value);
    printTable(['KIND', 'NAME', 'TEMPLATE', 'VERSION'], found.value.map(summaryRow));
  });
}

async function describe(kind: string, name: string, flags: ConnectionFlags): Promise<void> {
  const collection = collectionFor(kind);
  if (collection === undefined) return;
  await withClient(flags, async (client) => {
    const found = await client.get(collection, name);
    if (found.isErr) return reportError(found.error);
    const status = collection === 'tenants' ? await client.status() : undefined;
    const state = status?.isOk ? status.value.tenants.find((t) => t.name === name) : undefined;
    const description = { ...found.value, ...(state === undefined ? {} : { state }) };
    if (flags.output === 'json') return printJson(description);
    process.stdout.write(stringify(description));
  });
}

async function remove(
  kind: string,
  name: string,
  flags: ConnectionFlags & { ifVersion?: string },
): Promise<void> {
  const collection = collectionFor(kind);
  if (collection === undefined) return;
  const version = flags.ifVersion === undefined ? undefined : Number(flags.ifVersion);
  await withClient(flags, async (client) => {
    const removed = await client.remove(collection, name, version);
    if (removed.isErr) return reportError(removed.error);
    process.stdout.write(`deleted ${name}\n`);
  });
}

async function showStatus(flags: ConnectionFlags): Promise<void> {
  await withClient(flags, async (client) => {
    const status = await client.status();
    if (status.isErr) return reportError(status.error);
    if (flags.output === 'json') return printJson(status.value);
    printStatus(status.value);
  });
}

function printStatus(report: StatusReport): void {
  process.stdout.write(
    `daemon ${report.daemon}  ready ${report.ready}  revision ${report.configurationRevision}\n\n`,
  );
  printTable(
    ['MEMBER', 'ZONE', 'SITE', 'STATE'],
    report.members.map((member) => [member.address, member.zone, member.site, member.state]),
  );
  process.stdout.write('\n');
  printTable(
    ['POOL', 'ZONE', 'OWNER', 'EPOCH', 'ENGINES'],
    report.pools.map((pool) => [
      pool.pool,
      pool.zone,
      pool.owner === '' ? '-' : pool.owner,
      String(pool.epoch),
      String(pool.engines),
    ]),
  );
  process.stdout.write('\n');
  printTable(
    ['TENANT', 'DECIDED', 'GRANTED', 'LOADED HERE', 'LOADING HERE', 'WAITING', 'IN FLIGHT HERE'],
    report.tenants.map((tenant) => [
      tenant.name,
      String(tenant.decided),
      String(tenant.granted),
      String(tenant.loaded),
      String(tenant.loading),
      String(tenant.waiting),
      String(tenant.inFlightHere),
    ]),
  );
}

/** Adds the commands for operators. */
export function addOperatorCommands(program: Command): void {
  withConnection(program.command('apply'))
    .description('apply the templates and tenants of a file')
    .requiredOption('-f, --file <file>', 'YAML or JSON file')
    .option('--if-version <n>', 'write only if the document still has this version')
    .action((flags: ConnectionFlags & { file: string; ifVersion?: string }) =>
      applyFile(flags.file, flags),
    );
  withConnection(program.command('check'))
    .description('validate a file without applying it')
    .requiredOption('-f, --file <file>', 'YAML or JSON file')
    .option('--offline', 'check the schema only, without a daemon')
    .action((flags: ConnectionFlags & { file: string; offline?: boolean }) =>
      checkFile(flags.file, flags),
    );
  withConnection(program.command('diff'))
    .description('compare the documents of a file with the applied ones')
    .requiredOption('-f, --file <file>', 'YAML or JSON file')
    .action((flags: ConnectionFlags & { file: string }) => diffFile(flags.file, flags));
  withConnection(program.command('get'))
    .description('list templates or tenants')
    .argument('<kind>', 'template or tenant')
    .argument('[name]', 'name of the template or tenant; all are listed without it')
    .action(getDocuments);
  withConnection(program.command('describe'))
    .description('show one template or tenant in full')
    .argument('<kind>', 'template or tenant')
    .argument('<name>', 'name of the template or tenant')
    .action(describe);
  withConnection(program.command('delete'))
    .description('delete a template or tenant')
    .argument('<kind>', 'template or tenant')
    .argument('<name>', 'name of the template or tenant')
    .option('--if-version <n>', 'delete only if it still has this version')
    .action(remove);
  withConnection(program.command('status'))
    .description('show members, pools and tenants')
    .action(showStatus);
  program
    .command('hash-key')
    .description('print the SHA-256 of a bearer key read from standard input')
    .action(async () => {
      const chunks: Buffer[] = [];
      for await (const chunk of process.stdin) chunks.push(chunk as Buffer);
      process.stdout.write(`${hashKey(Buffer.concat(chunks).toString('utf8').trim())}\n`);
    });
}
