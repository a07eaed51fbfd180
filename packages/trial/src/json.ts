/**
 * A value as `JSON.parse` gives it. The bodies of answers, configurations to be spoiled and the like are read field by
 * field by tests and simulated clients; a field that is missing fails the test that reads it.
 */
// oxlint-disable-next-line typescript/no-explicit-any -- what JSON.parse itself returns; one name for it keeps other uses of any out
export type Json = any;
