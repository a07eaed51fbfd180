/** The agreed value as text, for ballots, the wire and the voters' disks. */
import { pack, unpack } from '@harecross/kernel';
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import type { Value } from './value.js';

/** Shorter texts stay as they are: there is nothing to gain. */
const FROM_CHARS = 1_024;
/** Fast: the best level makes a configuration a twentieth smaller and takes three times as long. */
const LEVEL = 1;
/** A text as devalue writes it begins with a bracket. */
const DEFLATED = 'z';

/** The text of each value that was written or read here: a value is never altered, so its text stays true. */
const texts = new WeakMap<Value, string>();

/**
 * The text of a value, where it is known without writing it anew.
 * @example
 * textOf(fromText(s)) === s
 */
export const textOf = (v: Value): string | undefined => texts.get(v);

/**
 * Has a value that says the same as another have its text. Give only a copy in which no part says anything else.
 * @example
 * sameText({ ...v, config: equalConfig }, v)
 */
export function sameText(copy: Value, v: Value): Value {
  const text = texts.get(v);
  if (text !== undefined) texts.set(copy, text);
  return copy;
}

/**
 * A value as text, for the wire and the disk. Configurations say the same words again and again, so a long one is deflated.
 * @example
 * fromText(toText(value)); // the same value
 */
export function toText(v: Value): string {
  const known = texts.get(v);
  if (known !== undefined) return known;
  const packed = pack(v);
  const text =
    packed.length < FROM_CHARS ? packed : DEFLATED + deflateRawSync(packed, { level: LEVEL }).toString('base64');
  texts.set(v, text);
  return text;
}

/**
 * The value in a text; also in one of before texts were deflated.
 * @example
 * fromText(seat.value).version; // 4
 */
export function fromText(s: string): Value {
  const packed = s.startsWith(DEFLATED)
    ? inflateRawSync(Buffer.from(s.slice(DEFLATED.length), 'base64')).toString()
    : s;
  const value = unpack(packed) as Value;
  texts.set(value, s);
  return value;
}
