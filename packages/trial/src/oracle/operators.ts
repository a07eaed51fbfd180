/** What operators were told: each change is lost by nobody, and reads show the newest. */
import type { FleetConfig } from '@harecross/schema';
import { push, type DayRecord, type Of } from './run-record.js';

export function operators(record: DayRecord): void {
  for (const s of record.seen) {
    if (s.k === 'cfg.submit') {
      if (!record.submits.has(s.changeId)) record.submits.set(s.changeId, s);
    } else if (s.k === 'cfg.answer') push(record.answers, s.changeId, s);
  }
  for (const as of record.answers.values())
    for (const { t, version, revision } of as)
      if (revision !== undefined) record.revisions.push({ t, version: version!, revision });
  record.revisions.sort((a, b) => a.t - b.t);
  for (const [id, sub] of record.submits) {
    const as = record.told(id);
    const a = as[0];
    if (!a) {
      record.say('unanswered', sub.t, `${id} never got an answer`);
      continue;
    }
    if (!sub.valid && as.some((x) => x.out !== 'invalid'))
      record.say('invalid_taken', a.t, `${id} is invalid and was answered ${a.out}`);
    if (sub.valid && as.some((x) => x.out === 'invalid'))
      record.say('unanswered', a.t, `${id} is valid and was called invalid`);
    if (sub.revision !== undefined) revised(record, id, sub, as);
    else
      for (const x of as) {
        if (x.out !== a.out || x.version !== a.version)
          record.say('config_lost', x.t, `${id} was answered ${a.out} ${a.version}, then ${x.out} ${x.version}`);
      }
    if (a.out !== 'taken' || !sub.valid) continue;
    if (sub.expect !== undefined && a.version !== sub.expect + 1)
      record.say('config_lost', a.t, `${id} expected ${sub.expect} and became ${a.version}`);
    const twin = record.taken.find((x) => x.version === a.version);
    if (twin) record.say('config_lost', a.t, `version ${a.version} given to ${twin.changeId} and ${id}`);
    record.taken.push({
      version: a.version!,
      t: a.t,
      submitted: sub.t,
      changeId: id,
      revision: sub.revision,
      document: sub.document,
      config: sub.config as FleetConfig,
    });
  }
  record.taken.sort((a, b) => a.version - b.version);
  const unsure = [...record.submits.keys()].some((id) => !record.told(id).length);
  for (const s of record.seen) {
    if (s.k !== 'cfg.read') continue;
    const least = record.taken.filter((x) => x.t <= s.asked).at(-1)?.version ?? 0;
    if (s.version < least)
      record.say(s.last ? 'read_back' : 'config_lost', s.t, `read version ${s.version}, but ${least} was taken before`);
    const of = record.taken.find((x) => x.version === s.version);
    const differs =
      of &&
      (JSON.stringify([of.config, of.document]) !== JSON.stringify([s.config, s.document]) ||
        (of.revision !== undefined && s.revision !== of.revision));
    if (differs) {
      record.say('read_back', s.t, `version ${s.version} reads differently from what ${of.changeId} sent`);
    }
    if (s.last && !unsure && !of && s.version > 0) record.say('read_back', s.t, `version ${s.version} was never sent`);
  }
}

/** By revision the highest holds: an answer tells of the one sent or of a higher one, and of nothing lower than what was told before. */
function revised(record: DayRecord, id: string, sub: Of<'cfg.submit'>, as: Of<'cfg.answer'>[]): void {
  if (!sub.valid) return;
  for (const x of as) {
    if (x.revision! < sub.revision! || (x.out === 'taken') !== (x.revision === sub.revision))
      record.say('config_lost', x.t, `${id} was answered with revision ${x.revision}`);
    const of = record.submits.get(`revision-${x.revision}`);
    if (!of) record.say('config_lost', x.t, `${id} was answered with revision ${x.revision}, which nobody sent`);
    else if (!of.valid)
      record.say('invalid_taken', x.t, `${id} was answered with revision ${x.revision}, which is invalid`);
    const before = record.revisions.find((y) => y.t < x.asked! && y.revision > x.revision!);
    if (before)
      record.say(
        'config_lost',
        x.t,
        `${id} was answered with revision ${x.revision}; ${before.revision} was told before`,
      );
    const twin = record.revisions.find((y) => (y.version === x.version) !== (y.revision === x.revision));
    if (twin)
      record.say(
        'config_lost',
        x.t,
        `revision ${x.revision} is version ${x.version}, and ${twin.revision} is ${twin.version}`,
      );
  }
}
