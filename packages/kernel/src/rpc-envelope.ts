/**
 * The envelope of RPCs between nodes. Fields common to all frames precede the body in a compact text format: most frames are small, and
 * bandwidth between sites is expensive.
 */
import { parse, stringify } from 'devalue';
import type { ErrorDetails } from './fault.js';

/** A request between nodes. */
export interface RpcRequest {
  method: string;
  /** Address of the sender. */
  sender: string;
  /** Instance id of the sender's process. */
  instanceId: string;
  /** Revision of the agreed value that the sender has. */
  revision: number;
  /** Send time by the sender's monotonic clock (ms). */
  sentAt: number;
  body: unknown;
}

/** The fields of an answer besides its outcome: the revision of the answering node, and the send time by its monotonic clock (ms). */
interface AnswerHead {
  revision: number;
  sentAt: number;
}

/** An answer between nodes. */
export type RpcAnswer = AnswerHead & ({ ok: unknown } | { error: ErrorDetails });

const REQUEST_HEAD = /^(\w+) (\S+) (\S+) (\d+) (-?\d+) /;
const ANSWER_HEAD = /^(\d+) (-?\d+) ([+-])/;

/** A request body that is serialized once, for a request to several peers. */
export class SerializedBody {
  readonly text: string;

  constructor(body: unknown) {
    this.text = stringify(body);
  }
}

/** Encodes a request as a frame. */
export function encodeRequest(request: RpcRequest): string {
  const { method, sender, instanceId, revision, sentAt, body } = request;
  const text = body instanceof SerializedBody ? body.text : stringify(body);
  return `${method} ${sender} ${instanceId} ${revision} ${Math.round(sentAt)} ${text}`;
}

/** Decodes a request from a frame. Throws if the frame is not a valid request. */
export function decodeRequest(frame: string): RpcRequest {
  const match = REQUEST_HEAD.exec(frame);
  if (!match) throw new Error('malformed request');
  const [head, method, sender, instanceId, revision, sentAt] = match as unknown as [
    string,
    string,
    string,
    string,
    string,
    string,
  ];
  const body: unknown = parse(frame.slice(head.length));
  return { method, sender, instanceId, revision: Number(revision), sentAt: Number(sentAt), body };
}

/** Encodes an answer as a frame. */
export function encodeAnswer(answer: RpcAnswer): string {
  const outcome = 'ok' in answer ? `+${stringify(answer.ok)}` : `-${stringify(answer.error)}`;
  return `${answer.revision} ${Math.round(answer.sentAt)} ${outcome}`;
}

/** Decodes an answer from a frame. Returns undefined if the frame is not a valid answer. */
export function decodeAnswer(frame: string): RpcAnswer | undefined {
  const match = ANSWER_HEAD.exec(frame);
  if (!match) return undefined;
  const [head, revision, sentAt, sign] = match as unknown as [string, string, string, string];
  const answerHead: AnswerHead = { revision: Number(revision), sentAt: Number(sentAt) };
  try {
    const outcome: unknown = parse(frame.slice(head.length));
    if (sign === '+') return { ...answerHead, ok: outcome };
    return isErrorDetails(outcome) ? { ...answerHead, error: outcome } : undefined;
  } catch {
    return undefined;
  }
}

function isErrorDetails(outcome: unknown): outcome is ErrorDetails {
  return typeof (outcome as ErrorDetails | undefined)?.tag === 'string';
}
