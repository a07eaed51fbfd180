/**
 * A value returned by `JSON.parse`, such as a response body or a configuration that a test makes invalid. Tests and simulated
 * clients read single fields of it without validation; a missing field fails the test that reads it.
 */
// oxlint-disable-next-line typescript/no-explicit-any -- what JSON.parse itself returns; this alias keeps other uses of any out of the code
export type Json = any;
