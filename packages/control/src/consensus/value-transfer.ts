/**
 * Transfer of the agreed value between nodes: only a newer value is sent, and without the configuration if both nodes have the same
 * version of it. The configuration makes up nearly all of the value's size, while most revisions change other parts.
 */
import { deserializeValue, serializeValue } from '../value/value-text.js';
import type { FleetValue } from '../value/fleet-value.js';

/** What the requesting node has. Older versions send no fields and get the whole value. */
export interface ValueRequest {
  fleet?: string;
  rev?: number;
  version?: number;
}
/** The serialized value, whole or without its configuration; undefined if the answering node has none that is newer. */
export type ValueAnswer = string | { exceptConfiguration: string } | undefined;

/** Values without their configuration, cached because many nodes request the same value. */
const reducedValues = new WeakMap<FleetValue, FleetValue>();

function exceptConfiguration(v: FleetValue): FleetValue {
  let reduced = reducedValues.get(v);
  if (!reduced) {
    reduced = { ...v, config: { families: [] }, incarnations: new Map(), document: undefined };
    reducedValues.set(v, reduced);
  }
  return reduced;
}

/**
 * A request for any value newer than this one.
 * @example
 * const answer = await kernel.call<ValueAnswer>(peer, 'RegGet', valueRequest(register.value));
 */
export function valueRequest(own: FleetValue | undefined): ValueRequest {
  return own ? { fleet: own.fleet, rev: own.rev, version: own.version } : {};
}

/**
 * Answers a value request.
 * @example
 * kernel.on('RegGet', (request: ValueRequest) => valueAnswer(request, register.value));
 */
export function valueAnswer(request: ValueRequest, v: FleetValue | undefined): ValueAnswer {
  if (!v) return undefined;
  if (request.rev === undefined || request.fleet !== v.fleet) return serializeValue(v);
  if (request.rev >= v.rev) return undefined;
  return request.version === v.version
    ? { exceptConfiguration: serializeValue(exceptConfiguration(v)) }
    : serializeValue(v);
}

/**
 * The value in an answer. Undefined if there is none, or if our own configuration has changed since the request, in which case we have
 * a newer value already. `parse` deserializes a whole value; the caller may supply one that returns an already parsed value.
 * @example
 * const newer = valueFromAnswer(answer, register.value);
 */
export function valueFromAnswer(
  answer: ValueAnswer,
  own: FleetValue | undefined,
  parse: (text: string) => FleetValue = deserializeValue,
): FleetValue | undefined {
  if (answer === undefined) return undefined;
  if (typeof answer === 'string') return answer === '' ? undefined : parse(answer);
  const v = deserializeValue(answer.exceptConfiguration);
  if (!own || own.fleet !== v.fleet || own.version !== v.version) return undefined;
  return { ...v, config: own.config, incarnations: own.incarnations, document: own.document };
}
