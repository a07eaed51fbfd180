import { readFileSync } from 'node:fs';
import Type from 'typebox';
import { Compile } from 'typebox/compile';
import { findToleranceError } from './fault-tolerance.js';
import type { DiskUse, NodeConfig, Role } from './host.js';

const Address = Type.String({ pattern: '^\\d{1,3}(\\.\\d{1,3}){3}:\\d{1,5}$' });

/** Schema of a process's config file. */
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
const check = Compile(NodeConfigSchema);

/** What the validator tells of one place, as far as it is used here. */
interface SchemaError {
  instancePath: string;
  message: string;
  params?: { requiredProperties?: string[]; additionalProperties?: string[] };
}

/**
 * Why a value is not a NodeConfig, one clear line; undefined when it is one.
 * @example
 * faultInConfig({ domain: 'kaolack' }); // 'peer: required'
 */
export function findConfigError(x: unknown): string | undefined {
  if (!check.Check(x)) {
    const es = check.Errors(x) as SchemaError[];
    const e = es[0];
    const miss = e?.params?.requiredProperties?.[0];
    const extra = e?.params?.additionalProperties?.[0];
    if (miss) return `${miss}: missing`;
    if (extra) return `${extra}: unknown key`;
    const at = e?.instancePath.replace(/^\//, '').replaceAll('/', '.') || 'config';
    return `${at}: ${e?.message === 'schema is false' ? 'unknown key' : (e?.message ?? 'invalid')}`;
  }
  const c = x as NodeConfig;
  for (const [k, a] of [['peer', c.peer], ['client', c.client], ...c.seeds.map((s, i) => [`seeds.${i}`, s])] as [
    string,
    string,
  ][]) {
    const [ip, port] = a.split(':') as [string, string];
    if (ip.split('.').some((n) => Number(n) > 255)) return `${k}: '${a}' is not an IP address and port`;
    if (Number(port) < 1 || Number(port) > 65535) return `${k}: port ${port} is out of range 1..65535`;
  }
  if (c.peer === c.client) return 'peer and client: must be two different addresses';
  return findToleranceError(c);
}

/**
 * Reads a config file and lays flags over it. Throws an Error with one clear line.
 * @example
 * const c = readNodeConfig('store', 'store-1.json', { domain: 'fatick' });
 */
export function readNodeConfig(role: Role, file: string | undefined, flags: Partial<NodeConfig>): NodeConfig {
  let base: Record<string, unknown> = {};
  if (file) {
    try {
      base = JSON.parse(readFileSync(file, 'utf8'));
    } catch (e) {
      throw new Error(`${file}: ${e instanceof Error ? e.message : String(e)}`);
    }
    if (typeof base !== 'object' || base === null || Array.isArray(base))
      throw new Error(`${file}: must hold a JSON object`);
  }
  const x: Record<string, unknown> = { ...base };
  for (const [k, v] of Object.entries(flags)) if (v !== undefined) x[k] = v;
  return validateNodeConfig(role, x, file);
}

/**
 * A value as the config of a node of this role; throws an Error with one clear line. `from` names where the value came
 * from.
 * @example
 * const c = checkedNodeConfig('relay', { domain: 'fatick', peer, client, seeds }, 'relay-11.json');
 */
export function validateNodeConfig(role: Role, x: Record<string, unknown>, from?: string): NodeConfig {
  const f = findConfigError(x);
  if (f) throw new Error(from ? `${from}: ${f}` : f);
  if (x.role !== undefined && x.role !== role)
    throw new Error(`role: '${x.role as string}' in the config, but this program is '${role}'`);
  if (role !== 'relay' && !x.data) throw new Error(`data: a ${role} needs a data folder`);
  if ((x.seeds as string[]).includes(x.peer as string) && !x.data) {
    throw new Error('data: this machine is a seed, and seeds need a data folder to found the fleet');
  }
  return { ...(x as unknown as NodeConfig), role };
}

/**
 * What a node's disk is for, what it is for first standing first.
 * @example
 * diskUsesOf({ role: 'control', ... }); // ['seat']
 */
export function diskUsesOf(c: NodeConfig): DiskUse[] {
  return c.diskUses ?? (c.role === 'control' ? ['seat'] : ['copies', 'seat']);
}
