import { readFileSync } from 'node:fs';
import Type from 'typebox';
import { Compile } from 'typebox/compile';
import { findToleranceError } from './fault-tolerance.js';
import type { DiskUse, NodeConfig, Role } from './host.js';

const Address = Type.String({ pattern: '^\\d{1,3}(\\.\\d{1,3}){3}:\\d{1,5}$' });

/** Schema of the config file of a process. */
export const NodeConfigSchema = Type.Object(
  {
    role: Type.Optional(Type.Union([Type.Literal('relay'), Type.Literal('store'), Type.Literal('control')])),
    domain: Type.String({ minLength: 1, maxLength: 64 }),
    peer: Address,
    client: Address,
    seeds: Type.Array(Address, { minItems: 1, maxItems: 3, uniqueItems: true }),
    data: Type.Optional(Type.String({ minLength: 1 })),
    name: Type.Optional(Type.String({ minLength: 1, maxLength: 128 })),
    diskUses: Type.Optional(
      Type.Array(Type.Union([Type.Literal('seat'), Type.Literal('copies')]), { minItems: 1, uniqueItems: true }),
    ),
    losses: Type.Optional(Type.Integer({ minimum: 0, maximum: 4 })),
    domainLosses: Type.Optional(Type.Integer({ minimum: 0, maximum: 4 })),
    regionLosses: Type.Optional(Type.Integer({ minimum: 0, maximum: 4 })),
    domains: Type.Optional(Type.Record(Type.String({ minLength: 1 }), Type.String({ minLength: 1 }))),
    applyMs: Type.Optional(Type.Number({ minimum: 500, maximum: 600_000 })),
    pingS: Type.Optional(Type.Number({ minimum: 0.2, maximum: 60 })),
    firstStart: Type.Optional(Type.Boolean()),
    stopMs: Type.Optional(Type.Number({ minimum: 500, maximum: 600_000 })),
  },
  { additionalProperties: false },
);
const validator = Compile(NodeConfigSchema);

/** The part of a validation error that is used here. */
interface SchemaError {
  instancePath: string;
  message: string;
  params?: { requiredProperties?: string[]; additionalProperties?: string[] };
}

/**
 * Describes in one line why a value is not a valid NodeConfig; undefined if it is valid.
 * @example
 * findConfigError({ domain: 'kaolack' }); // 'peer: missing'
 */
export function findConfigError(value: unknown): string | undefined {
  if (!validator.Check(value)) {
    const errors = validator.Errors(value) as SchemaError[];
    const error = errors[0];
    const missingKey = error?.params?.requiredProperties?.[0];
    const unknownKey = error?.params?.additionalProperties?.[0];
    if (missingKey) return `${missingKey}: missing`;
    if (unknownKey) return `${unknownKey}: unknown key`;
    const path = error?.instancePath.replace(/^\//, '').replaceAll('/', '.') || 'config';
    return `${path}: ${error?.message === 'schema is false' ? 'unknown key' : (error?.message ?? 'invalid')}`;
  }
  const config = value as NodeConfig;
  for (const [key, address] of [
    ['peer', config.peer],
    ['client', config.client],
    ...config.seeds.map((seed, i) => [`seeds.${i}`, seed]),
  ] as [string, string][]) {
    const [ip, port] = address.split(':') as [string, string];
    if (ip.split('.').some((octet) => Number(octet) > 255)) return `${key}: '${address}' is not an IP address and port`;
    if (Number(port) < 1 || Number(port) > 65535) return `${key}: port ${port} is out of range 1..65535`;
  }
  if (config.peer === config.client) return 'peer and client: must be two different addresses';
  return findToleranceError(config);
}

/**
 * Reads a config file and overrides its values with the given flags. Throws an Error with a one-line message if the result is invalid.
 * @example
 * const config = readNodeConfig('store', 'store-1.json', { domain: 'fatick' });
 */
export function readNodeConfig(role: Role, file: string | undefined, flags: Partial<NodeConfig>): NodeConfig {
  let fromFile: Record<string, unknown> = {};
  if (file) {
    try {
      fromFile = JSON.parse(readFileSync(file, 'utf8'));
    } catch (error) {
      throw new Error(`${file}: ${error instanceof Error ? error.message : String(error)}`);
    }
    if (typeof fromFile !== 'object' || fromFile === null || Array.isArray(fromFile))
      throw new Error(`${file}: must hold a JSON object`);
  }
  const merged: Record<string, unknown> = { ...fromFile };
  for (const [key, value] of Object.entries(flags)) if (value !== undefined) merged[key] = value;
  return validateNodeConfig(role, merged, file);
}

/**
 * Validates a value as the config of a node of this role. Throws an Error with a one-line message, which starts with `source` if given.
 * @example
 * const config = validateNodeConfig('relay', { domain: 'fatick', peer, client, seeds }, 'relay-11.json');
 */
export function validateNodeConfig(role: Role, value: Record<string, unknown>, source?: string): NodeConfig {
  const error = findConfigError(value);
  if (error) throw new Error(source ? `${source}: ${error}` : error);
  if (value.role !== undefined && value.role !== role)
    throw new Error(`role: '${value.role as string}' in the config, but this program is '${role}'`);
  if (role !== 'relay' && !value.data) throw new Error(`data: a ${role} needs a data folder`);
  if ((value.seeds as string[]).includes(value.peer as string) && !value.data) {
    throw new Error('data: this machine is a seed, and seeds need a data folder to found the fleet');
  }
  return { ...(value as unknown as NodeConfig), role };
}

/**
 * The uses of a node's disk, in order of preference.
 * @example
 * diskUsesOf({ role: 'control', ... }); // ['seat']
 */
export function diskUsesOf(config: NodeConfig): DiskUse[] {
  return config.diskUses ?? (config.role === 'control' ? ['seat'] : ['copies', 'seat']);
}
