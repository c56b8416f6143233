/** Guards against names of the users' platform outside the adapter and the deployment files. */
import { readFileSync, readdirSync } from 'node:fs';
import { join } from 'node:path';
import { describe, expect, it } from 'vitest';

/** Headers, fields, paths and values defined by the platform's specification. */
const PLATFORM_NAMES = [
  'x-attempt-id',
  'x-server-seal',
  'x-not-executed',
  'x-target-instance',
  'x-instance-id',
  'x-token-counts',
  'x-prompt-prefix',
  'x-request-urgency',
  'x-length-hint',
  'x-weight-versions',
  '/-/',
  'model_load',
  'model_unload',
  'expectedCount',
  'atHand',
  'weightsMb',
  'loadsPerS',
  'gapGoalMs',
  'maxConns',
  'healthPath',
  'kvCapacityTokens',
  'readyAddr',
  'internalPorts',
  'nodeName',
  'budgetRatio',
  'ceilingExcess',
  'non_idempotent',
];

function sourceFiles(folder: string): string[] {
  return readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const path = join(folder, entry.name);
    if (entry.isDirectory()) return sourceFiles(path);
    return path.endsWith('.ts') ? [path] : [];
  });
}

function mentions(text: string, name: string): boolean {
  if (!/^\w/.test(name)) return text.includes(name);
  return new RegExp(`(?<![\\w-])${name}(?![\\w-])`, 'i').test(text);
}

describe('the platform adapter', () => {
  it('is the only code that contains names of the platform', () => {
    const found = sourceFiles('src').flatMap((file) => {
      const text = readFileSync(file, 'utf8');
      return PLATFORM_NAMES.filter((name) => mentions(text, name)).map(
        (name) => `${file}: ${name}`,
      );
    });
    expect(found).toEqual([]);
  });
});
