/** Sample messages of each kind that daemons exchange, with a value in every field, and the schema as plain data. */
import {
  create,
  ScalarType,
  toBinary,
  type DescEnum,
  type DescField,
  type DescMessage,
  type Message,
} from '@bufbuild/protobuf';
import { reflect } from '@bufbuild/protobuf/reflect';
import { EnvelopeSchema, file_internal } from '../../src/proto/gen/internal_pb.js';

/** Nesting depth to which messages are filled. The protocol has no recursive messages. */
const MAX_NESTING_DEPTH = 6;

/** Number and type of a field in the schema of a recorded build. */
export interface RecordedField {
  readonly number: number;
  readonly type: string;
}

/** Fields by field name, grouped by message name. */
export type RecordedSchema = Record<string, Record<string, RecordedField>>;

/** Returns one encoded message of each kind, in base64, by kind. */
export function sampleMessages(): Record<string, string> {
  const [body] = EnvelopeSchema.oneofs;
  const kinds = body?.fields ?? [];
  return Object.fromEntries(
    kinds.map((kind) => {
      const message = create(EnvelopeSchema, { from: '10.0.0.1:7380' });
      fillField(message, EnvelopeSchema, kind, 0);
      return [kind.localName, Buffer.from(toBinary(EnvelopeSchema, message)).toString('base64')];
    }),
  );
}

/** Returns the number and type of every field of every message. */
export function schema(): RecordedSchema {
  return Object.fromEntries(
    file_internal.messages.map(({ name, fields }) => [
      name,
      Object.fromEntries(fields.map((field) => [field.name, describeField(field)])),
    ]),
  );
}

/** Returns the values of all enumerations, by enumeration name and value name. */
export function enumerations(): Record<string, Record<string, number>> {
  return Object.fromEntries(
    file_internal.enums.map(({ name, values }) => [
      name,
      Object.fromEntries(values.map((value) => [value.name, value.number])),
    ]),
  );
}

function describeField(field: DescField): RecordedField {
  const elementKind = field.fieldKind === 'list' ? field.listKind : field.fieldKind;
  const typeName =
    field.message?.name ?? field.enum?.name ?? (field.scalar && ScalarType[field.scalar]) ?? '';
  return { number: field.number, type: `${field.fieldKind} ${elementKind} ${typeName}` };
}

function fillAll(desc: DescMessage, depth: number): Message {
  const message = create(desc);
  for (const field of desc.fields) fillField(message, desc, field, depth);
  return message;
}

function fillField(message: Message, desc: DescMessage, field: DescField, depth: number): void {
  if (depth > MAX_NESTING_DEPTH) return;
  const target = reflect(desc, message);
  switch (field.fieldKind) {
    case 'scalar':
      return target.set(field, sampleScalar(field.scalar, field.number));
    case 'enum':
      return target.set(field, sampleEnum(field.enum));
    case 'message':
      return target.set(field, reflect(field.message, fillAll(field.message, depth + 1)));
    case 'list':
      return target.get(field).add(sampleElement(field, depth));
    case 'map':
      throw new Error(`${field.name}: sampleMessages does not support map fields`);
  }
}

function sampleElement(field: DescField & { fieldKind: 'list' }, depth: number): unknown {
  if (field.listKind === 'message') {
    return reflect(field.message, fillAll(field.message, depth + 1));
  }
  if (field.listKind === 'enum') return sampleEnum(field.enum);
  return sampleScalar(field.scalar, field.number);
}

function sampleEnum({ values }: DescEnum): number {
  return values.at(-1)?.number ?? 0;
}

function sampleScalar(type: ScalarType, number: number): unknown {
  switch (type) {
    case ScalarType.STRING:
      return `text-${number}`;
    case ScalarType.BOOL:
      return true;
    case ScalarType.BYTES:
      return new Uint8Array([number, 255]);
    case ScalarType.DOUBLE:
    case ScalarType.FLOAT:
      return number + 0.5;
    case ScalarType.INT64:
    case ScalarType.UINT64:
    case ScalarType.SINT64:
    case ScalarType.FIXED64:
    case ScalarType.SFIXED64:
      return BigInt(number);
    default:
      return number;
  }
}
