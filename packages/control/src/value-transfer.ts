/**
 * How a node gets the agreed value from another: only when it is newer, and without the configuration when both have the same version of
 * it. The configuration is nearly all of the value's length, while most revisions change other things.
 */
import { fromText, toText } from './text.js';
import type { Value } from './value.js';

/** What the asking node has; a node of before sends nothing of it and gets the whole value. */
export interface ValueRequest {
  fleet?: string;
  rev?: number;
  version?: number;
}
/** The value as text, whole or without its configuration; undefined where the answering node has none that is newer. */
export type ValueAnswer = string | { exceptConfiguration: string } | undefined;

/** Values without their configuration, each made once: many nodes ask for the same one. */
const shortened = new WeakMap<Value, Value>();

function exceptConfiguration(v: Value): Value {
  let short = shortened.get(v);
  if (!short) {
    short = { ...v, config: { families: [] }, eras: new Map(), document: undefined };
    shortened.set(v, short);
  }
  return short;
}

/**
 * A request for whatever is newer than this value.
 * @example
 * const answer = await k.call<ValueAnswer>(peer, 'RegGet', valueRequest(reg.value));
 */
export function valueRequest(own: Value | undefined): ValueRequest {
  return own ? { fleet: own.fleet, rev: own.rev, version: own.version } : {};
}

/**
 * The answer to such a request.
 * @example
 * k.on('RegGet', (request: ValueRequest) => valueAnswer(request, reg.value));
 */
export function valueAnswer(request: ValueRequest, v: Value | undefined): ValueAnswer {
  if (!v) return undefined;
  if (request.rev === undefined || request.fleet !== v.fleet) return toText(v);
  if (request.rev >= v.rev) return undefined;
  return request.version === v.version ? { exceptConfiguration: toText(exceptConfiguration(v)) } : toText(v);
}

/**
 * The value in an answer. Undefined when there is none, or when our own configuration has changed since we asked: then we have a newer value.
 * `read` makes a value of a whole text; it may know the value already.
 * @example
 * const newer = valueIn(answer, reg.value);
 */
export function valueIn(
  answer: ValueAnswer,
  own: Value | undefined,
  read: (text: string) => Value = fromText,
): Value | undefined {
  if (answer === undefined) return undefined;
  if (typeof answer === 'string') return answer === '' ? undefined : read(answer);
  const v = fromText(answer.exceptConfiguration);
  if (!own || own.fleet !== v.fleet || own.version !== v.version) return undefined;
  return { ...v, config: own.config, eras: own.eras, document: own.document };
}
