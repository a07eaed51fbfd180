import { pack, unpack } from '@harecross/kernel';
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import type { Value } from './value.js';

/** Shorter texts stay as they are: there is nothing to gain. */
const FROM_CHARS = 1_024;
/** Fast: the best level makes a configuration a twentieth smaller and takes three times as long. */
const LEVEL = 1;
/** A text as devalue writes it begins with a bracket. */
const DEFLATED = 'z';
/** Texts of values, which never change: the same one is asked for by many nodes. */
const texts = new WeakMap<Value, string>();

/**
 * A value as text, for the wire and the disk. Configurations say the same words again and again, so a long one is deflated.
 * @example
 * fromText(toText(value)); // the same value
 */
export function toText(v: Value): string {
  let text = texts.get(v);
  if (text === undefined) {
    const s = pack(v);
    text = s.length < FROM_CHARS ? s : DEFLATED + deflateRawSync(s, { level: LEVEL }).toString('base64');
    texts.set(v, text);
  }
  return text;
}

/**
 * The value in a text; also in one of before texts were deflated.
 * @example
 * fromText(seat.value).version; // 4
 */
export function fromText(s: string): Value {
  return unpack(
    s.startsWith(DEFLATED) ? inflateRawSync(Buffer.from(s.slice(DEFLATED.length), 'base64')).toString() : s,
  ) as Value;
}
