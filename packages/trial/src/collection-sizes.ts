/**
 * Sizes of every collection that a node's objects hold, found by walking them: notices a map that nobody thought of.
 */

/**
 * Fields that lead to the surroundings, into a library, or back to the kernel, from which each part is walked by
 * itself.
 */
const FOREIGN = new Set(['k', 'kernel', 'host', 'sql', 'db', 'clock', 'net', 'random', 'log', 'prepared', 'q']);
/** Deeper than any state of a node. */
const DEPTH_LIMIT = 12;

const isRxjs = (x: object): boolean => 'subscribe' in x || 'unsubscribe' in x;

/**
 * Entries of all maps, sets and arrays reachable from an object, by path; `[]` stands for any entry of a collection,
 * whose sizes are added up.
 * @example
 * collectionSizes(kernel).get('services[].members'); // 9
 */
export function collectionSizes(root: object): Map<string, number> {
  const sizes = new Map<string, number>();
  const seen = new Set<object>();
  const count = (path: string, size: number): void => {
    sizes.set(path, (sizes.get(path) ?? 0) + size);
  };
  const walk = (x: unknown, path: string, depth: number): void => {
    if (typeof x !== 'object' || x === null || seen.has(x) || depth > DEPTH_LIMIT) return;
    seen.add(x);
    if (x instanceof Map || x instanceof Set || Array.isArray(x)) {
      count(path, x instanceof Map || x instanceof Set ? x.size : x.length);
      for (const entry of x.values()) walk(entry, `${path}[]`, depth + 1);
      return;
    }
    if (ArrayBuffer.isView(x) || isPromise(x)) return;
    if (isRxjs(x)) {
      // A subject: whoever subscribes to it again and again is found by the number of its observers.
      const observers = (x as { observers?: unknown[] }).observers;
      if (observers) count(`${path}.observers`, observers.length);
      walk((x as { _value?: unknown })._value, `${path}.value`, depth + 1);
      return;
    }
    for (const [key, field] of Object.entries(x)) if (!FOREIGN.has(key)) walk(field, `${path}.${key}`, depth + 1);
  };
  walk(root, '', 0);
  return sizes;
}

function isPromise(x: object): boolean {
  return typeof (x as { then?: unknown }).then === 'function';
}
