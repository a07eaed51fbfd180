/**
 * The envelope of calls between nodes. What every frame says stands before its body, in as few bytes as it can: most frames are small,
 * and bytes between sites cost.
 */
import { parse, stringify } from 'devalue';
import type { ErrorDetails } from './fault.js';

/** A request between nodes. */
export interface RpcRequest {
  method: string;
  /** Address of the sender, and the id of its process. */
  sender: string;
  instanceId: string;
  /** The revision of the agreed value that the sender has. */
  revision: number;
  /** The sender's steady clock when it sent the request (ms). */
  sentAt: number;
  body: unknown;
}

/** What an answer says beside its outcome: the revision of the answering node, and its steady clock (ms). */
interface AnswerHead {
  revision: number;
  sentAt: number;
}

/** An answer between nodes. */
export type RpcAnswer = AnswerHead & ({ ok: unknown } | { error: ErrorDetails });

const REQUEST_HEAD = /^(\w+) (\S+) (\S+) (\d+) (-?\d+) /;
const ANSWER_HEAD = /^(\d+) (-?\d+) ([+-])/;

/** A body that is already text, for a request that goes to several peers. */
export class SerializedBody {
  readonly text: string;

  constructor(body: unknown) {
    this.text = stringify(body);
  }
}

/** The frame of a request. */
export function encodeRequest(request: RpcRequest): string {
  const { method, sender, instanceId, revision, sentAt, body } = request;
  const text = body instanceof SerializedBody ? body.text : stringify(body);
  return `${method} ${sender} ${instanceId} ${revision} ${Math.round(sentAt)} ${text}`;
}

/** The request in a frame; throws when the frame is none. */
export function decodeRequest(frame: string): RpcRequest {
  const match = REQUEST_HEAD.exec(frame);
  if (!match) throw new Error('not a request');
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

/** The frame of an answer. */
export function encodeAnswer(answer: RpcAnswer): string {
  const outcome = 'ok' in answer ? `+${stringify(answer.ok)}` : `-${stringify(answer.error)}`;
  return `${answer.revision} ${Math.round(answer.sentAt)} ${outcome}`;
}

/** The answer in a frame; undefined when the frame is none. */
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
