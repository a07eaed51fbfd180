/**
 * How a node gets the agreed value from another: only when it is newer, and without the configuration when both have the same version of
 * it. The configuration is nearly all of the value's length, while most revisions change other things.
 */
import { deserializeValue, serializeValue } from '../value/value-text.js';
import type { FleetValue } from '../value/fleet-value.js';

/** What the asking node has; a node of before sends nothing of it and gets the whole value. */
export interface ValueRequest {
  fleet?: string;
  rev?: number;
  version?: number;
}
/** The value as text, whole or without its configuration; undefined where the answering node has none that is newer. */
export type ValueAnswer = string | { exceptConfiguration: string } | undefined;

/** Values without their configuration, each made once: many nodes ask for the same one. */
const shortened = new WeakMap<FleetValue, FleetValue>();

function exceptConfiguration(v: FleetValue): FleetValue {
  let short = shortened.get(v);
  if (!short) {
    short = { ...v, config: { families: [] }, incarnations: new Map(), document: undefined };
    shortened.set(v, short);
  }
  return short;
}

/**
 * A request for whatever is newer than this value.
 * @example
 * const answer = await k.call<ValueAnswer>(peer, 'RegGet', valueRequest(register.value));
 */
export function valueRequest(own: FleetValue | undefined): ValueRequest {
  return own ? { fleet: own.fleet, rev: own.rev, version: own.version } : {};
}

/**
 * The answer to such a request.
 * @example
 * k.on('RegGet', (request: ValueRequest) => valueAnswer(request, register.value));
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
 * The value in an answer. Undefined when there is none, or when our own configuration has changed since we asked: then we have a newer value.
 * `read` makes a value of a whole text; it may know the value already.
 * @example
 * const newer = valueIn(answer, register.value);
 */
export function valueFromAnswer(
  answer: ValueAnswer,
  own: FleetValue | undefined,
  read: (text: string) => FleetValue = deserializeValue,
): FleetValue | undefined {
  if (answer === undefined) return undefined;
  if (typeof answer === 'string') return answer === '' ? undefined : read(answer);
  const v = deserializeValue(answer.exceptConfiguration);
  if (!own || own.fleet !== v.fleet || own.version !== v.version) return undefined;
  return { ...v, config: own.config, incarnations: own.incarnations, document: own.document };
}
