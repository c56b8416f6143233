/**
 * The rules of replaced configurations under which streams may still run. Their memory is bounded: if they take too much, the oldest are
 * deleted, and the streams of all paths count as of unknown origin until none can run any more that began under a deleted rule. No I/O;
 * times are milliseconds of a monotonic clock.
 */
import type { DatedRule, PathRule } from './route-history.js';

/** Maximum memory of the rules, estimated, in bytes. */
export const MAX_REPLACED_BYTES = 4 * 1024 * 1024;
/** Memory to which they are reduced if they take more, in bytes: many rules are deleted at once, because each deletion sorts them. */
const REDUCED_BYTES = (MAX_REPLACED_BYTES * 3) / 4;
/** Memory of a rule and its entry without the characters of its texts, in bytes. */
const RULE_BYTES = 320;
const SERVICE_BYTES = 16;
const CHARACTER_BYTES = 2;

/** A rule that was in force, perhaps several times. */
interface ReplacedRule extends DatedRule {
  /** Estimated memory, in bytes. */
  readonly bytes: number;
}

/** Rules of replaced configurations. */
export class ReplacedRules {
  /** By host, then by the other fields of the rule. */
  private readonly byHost = new Map<string, Map<string, ReplacedRule>>();
  private totalBytes = 0;
  private deletedUntil = -Infinity;

  /** Estimated memory of the rules, in bytes. */
  get bytes(): number {
    return this.totalBytes;
  }

  /** Time until which streams of rules may run that were deleted to bound the memory. */
  get incompleteUntil(): number {
    return this.deletedUntil;
  }

  /** Whether streams may run whose rules were deleted. */
  isIncomplete(now: number): boolean {
    return now <= this.deletedUntil;
  }

  /** Adds a rule that was in force between two times. */
  add(rule: PathRule, since: number, until: number): void {
    const rules = this.byHost.get(rule.host) ?? new Map<string, ReplacedRule>();
    this.byHost.set(rule.host, rules);
    const key = keyOf(rule);
    const known = rules.get(key);
    if (known === undefined) {
      const bytes = bytesOf(rule);
      this.totalBytes += bytes;
      rules.set(key, { rule, firstSince: since, lastSince: since, until, bytes });
    } else rules.set(key, { ...known, lastSince: since, until });
    if (this.totalBytes > MAX_REPLACED_BYTES) this.reduce();
  }

  /** Deletes the rules under which no stream can run any more. */
  deleteExpired(now: number): void {
    for (const entry of this.entries()) {
      if (expiryOf(entry) < now) this.delete(entry);
    }
  }

  /** Earliest time after which a rule has expired; infinite without rules. */
  firstExpiry(): number {
    return this.entries().reduce((first, entry) => Math.min(first, expiryOf(entry)), Infinity);
  }

  /** Returns the rules of a path. */
  matching(host: string, path: string): DatedRule[] {
    const rules = [...(this.byHost.get(host)?.values() ?? [])];
    return rules.filter(({ rule }) => path.startsWith(rule.pathPrefix));
  }

  /** Returns all rules. */
  all(): PathRule[] {
    return this.entries().map(({ rule }) => rule);
  }

  private entries(): ReplacedRule[] {
    return [...this.byHost.values()].flatMap((rules) => [...rules.values()]);
  }

  private reduce(): void {
    const oldestFirst = this.entries().sort((a, b) => a.until - b.until);
    for (const entry of oldestFirst) {
      if (this.totalBytes <= REDUCED_BYTES) return;
      this.delete(entry);
      this.deletedUntil = Math.max(this.deletedUntil, expiryOf(entry));
    }
  }

  private delete({ rule, bytes }: ReplacedRule): void {
    const rules = this.byHost.get(rule.host);
    rules?.delete(keyOf(rule));
    if (rules?.size === 0) this.byHost.delete(rule.host);
    this.totalBytes -= bytes;
  }
}

/** Time at which the last stream that began under a rule must have ended. */
function expiryOf({ rule, until }: ReplacedRule): number {
  return until + rule.timeoutMs;
}

/** Identifies a rule among those of its host. */
function keyOf({ pathPrefix, services, timeoutMs }: PathRule): string {
  return JSON.stringify([pathPrefix, timeoutMs, ...services]);
}

function bytesOf(rule: PathRule): number {
  const { host, pathPrefix, services } = rule;
  const texts = [host, pathPrefix, ...services, keyOf(rule)];
  const characters = texts.reduce((total, text) => total + text.length, 0);
  return RULE_BYTES + services.length * SERVICE_BYTES + characters * CHARACTER_BYTES;
}
