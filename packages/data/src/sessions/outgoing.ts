/** Frames on their way to a client, and the lines in which the product's own stream carries them. */
import type { Frame } from '@harecross/schema';

/** A message as all its subscribers get it; one object for all, so that who writes it out need do so once. */
export interface Message {
  topic: string;
  sender: string;
  seq: number;
  offset: number;
  body: string;
  bytes: number;
}

/** A frame that carries no message. */
export type ControlFrame = Exclude<Frame, { t: 'DELIVER' }>;

/** A frame on its way to a session. */
export type Outgoing = { t: 'DELIVER'; sub: string; msg: Message } | ControlFrame;

/** Where a session's frames go. `write` says whether more may follow at once; `drained` is called when it may. */
export interface Sink {
  write(frames: Outgoing[]): boolean;
  close(): void;
}

/** The common part of a message's lines, kept while any frame refers to the message. */
const messageLines = new WeakMap<Message, string>();

function messageLine(message: Message): string {
  const known = messageLines.get(message);
  if (known !== undefined) return known;
  const { topic, sender, seq, offset, body } = message;
  const line = JSON.stringify({ topic, sender, seq, offset, body }).slice(1);
  messageLines.set(message, line);
  return line;
}

/**
 * Frames as the lines of the product's own stream, each ended by a newline.
 * @example
 * raw.write(frameLines([{ t: 'GOAWAY', retryAfterMs: 0 }]));
 */
export function serializeFrames(frames: Outgoing[]): string {
  let out = '';
  for (const frame of frames) {
    if (frame.t === 'DELIVER') out += `{"t":"DELIVER","sub":"${frame.sub}",${messageLine(frame.msg)}\n`;
    else out += JSON.stringify(frame) + '\n';
  }
  return out;
}
