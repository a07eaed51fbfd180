/** Frames to be sent to a client, and their serialization as the lines of harecross's own stream format. */
import type { Frame } from '@harecross/schema';

/** A message for its subscribers. All of them share one object, so that it is serialized only once. */
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

/** A frame to be sent to a client. */
export type Outgoing = { t: 'DELIVER'; sub: string; msg: Message } | ControlFrame;

/**
 * Destination of a session's frames. `write` returns false when its buffer is full; call `drained` once it accepts
 * more.
 */
export interface Sink {
  write(frames: Outgoing[]): boolean;
  close(): void;
}

/** The part of a message's lines that is the same for all subscribers, cached while any frame refers to the message. */
const cachedLines = new WeakMap<Message, string>();

function serializeMessage(message: Message): string {
  const cached = cachedLines.get(message);
  if (cached !== undefined) return cached;
  const { topic, sender, seq, offset, body } = message;
  const line = JSON.stringify({ topic, sender, seq, offset, body }).slice(1);
  cachedLines.set(message, line);
  return line;
}

/**
 * Serializes frames as the lines of harecross's own stream format, each terminated by a newline.
 * @example
 * raw.write(serializeFrames([{ t: 'GOAWAY', retryAfterMs: 0 }]));
 */
export function serializeFrames(frames: Outgoing[]): string {
  let out = '';
  for (const frame of frames) {
    if (frame.t === 'DELIVER') out += `{"t":"DELIVER","sub":"${frame.sub}",${serializeMessage(frame.msg)}\n`;
    else out += JSON.stringify(frame) + '\n';
  }
  return out;
}
