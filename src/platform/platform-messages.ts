/** Parses what the platform sends. A reply or a line of another shape is rejected here, so that it ends its own call or watch only. */
import { z } from 'zod';
import { isAddress } from '../common/address.js';
import type { MachineList, ObjectList, StoredObject, WatchEvent } from './platform-client.js';

const kindSchema = z.enum(['template', 'tenant', 'quota', 'pool']);

const objectSchema = z.object({
  kind: kindSchema,
  name: z.string(),
  version: z.number(),
  value: z.unknown(),
});

const objectListSchema = z.object({ revision: z.number(), items: z.array(objectSchema) });

const eventSchema = z.object({
  revision: z.number(),
  change: z
    .object({ kind: kindSchema, name: z.string(), value: z.unknown().optional() })
    .optional(),
});

const machineSchema = z.looseObject({
  address: z.string().refine(isAddress),
  kind: z.enum(['engine', 'daemon']),
  zone: z.string(),
  site: z.string(),
  pool: z.string(),
  state: z.enum(['live', 'leaving']),
});

const machineListSchema = z.object({ version: z.number(), machines: z.array(z.unknown()) });

/** Parses an object; undefined if the value is none. */
export function parseObject(value: unknown): StoredObject | undefined {
  return objectSchema.safeParse(value).data;
}

/** Parses the list of objects; undefined if the value is none. */
export function parseObjectList(value: unknown): ObjectList | undefined {
  return objectListSchema.safeParse(value).data;
}

/** Parses a line of a watch; undefined if the value is none. */
export function parseWatchEvent(value: unknown): WatchEvent | undefined {
  const event = eventSchema.safeParse(value).data;
  if (event?.change === undefined) return event && { revision: event.revision };
  const { revision, change } = event;
  return { revision, change: { ...change, value: change.value } };
}

/** Parses the list of machines; undefined if the value is none. An entry that names no machine does not take the others with it. */
export function parseMachineList(value: unknown): MachineList | undefined {
  const list = machineListSchema.safeParse(value).data;
  if (list === undefined) return undefined;
  const machines = list.machines.flatMap((entry) => machineSchema.safeParse(entry).data ?? []);
  return { version: list.version, machines };
}

/** Parses the version of an object in a reply; undefined if it has none. */
export function parseVersion(value: unknown): number | undefined {
  return z.looseObject({ version: z.number() }).safeParse(value).data?.version;
}
