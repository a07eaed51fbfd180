import { deflateRawSync, inflateRawSync } from 'node:zlib';

/** A list as it is sent: as it is, or as deflated JSON in base64. */
export type CompressedList<T> = T[] | string;

/** Shorter lists stay as they are: there is little to gain. */
const FROM_CHARS = 512;
/** Fast, with little memory: lists are some ten KiB long and are packed often. */
const DEFLATE = { level: 1, windowBits: 13, memLevel: 6 };
/** A list that is said to become longer than this is none of ours. */
const INFLATED_BYTES = 16 * 1024 * 1024;

/**
 * A list of plain records for the wire. They repeat the same words, so a long list is deflated: it then takes about a fifth.
 * @example
 * k.call(peer, 'Mend', { items: packed(facts) });
 */
export function compressList<T>(list: T[]): CompressedList<T> {
  const json = JSON.stringify(list);
  return json.length < FROM_CHARS ? list : deflateRawSync(json, DEFLATE).toString('base64');
}

/**
 * The list as it was before it was packed. Throws when the text is none.
 * @example
 * for (const fact of unpacked(request.items)) take(fact);
 */
export function decompressList<T>(x: CompressedList<T>): T[] {
  if (typeof x !== 'string') return x;
  const json = inflateRawSync(Buffer.from(x, 'base64'), { maxOutputLength: INFLATED_BYTES }).toString();
  return JSON.parse(json) as T[];
}
