/** What operators were answered: no acknowledged change is lost, and reads return the newest configuration. */
import type { FleetConfig } from '@harecross/schema';
import { appendTo, type RunRecord, type EventOfKind } from './run-record.js';

export function checkOperatorAnswers(record: RunRecord): void {
  for (const event of record.seen) {
    if (event.k === 'cfg.submit') {
      if (!record.submits.has(event.changeId)) record.submits.set(event.changeId, event);
    } else if (event.k === 'cfg.answer') appendTo(record.answers, event.changeId, event);
  }
  for (const answers of record.answers.values())
    for (const { t, version, revision } of answers)
      if (revision !== undefined) record.revisions.push({ t, version: version!, revision });
  record.revisions.sort((a, b) => a.t - b.t);
  for (const [id, submit] of record.submits) {
    const answers = record.definiteAnswers(id);
    const firstAnswer = answers[0];
    if (!firstAnswer) {
      record.report('unanswered', submit.t, `${id} never got an answer`);
      continue;
    }
    if (!submit.valid && answers.some((x) => x.out !== 'invalid'))
      record.report('invalid_taken', firstAnswer.t, `${id} is invalid and was answered ${firstAnswer.out}`);
    if (submit.valid && answers.some((x) => x.out === 'invalid'))
      record.report('unanswered', firstAnswer.t, `${id} is valid and was called invalid`);
    if (submit.revision !== undefined) checkRevisionAnswers(record, id, submit, answers);
    else
      for (const x of answers) {
        if (x.out !== firstAnswer.out || x.version !== firstAnswer.version)
          record.report(
            'config_lost',
            x.t,
            `${id} was answered ${firstAnswer.out} ${firstAnswer.version}, then ${x.out} ${x.version}`,
          );
      }
    if (firstAnswer.out !== 'taken' || !submit.valid) continue;
    if (submit.expect !== undefined && firstAnswer.version !== submit.expect + 1)
      record.report('config_lost', firstAnswer.t, `${id} expected ${submit.expect} and became ${firstAnswer.version}`);
    const duplicate = record.taken.find((x) => x.version === firstAnswer.version);
    if (duplicate)
      record.report(
        'config_lost',
        firstAnswer.t,
        `version ${firstAnswer.version} given to ${duplicate.changeId} and ${id}`,
      );
    record.taken.push({
      version: firstAnswer.version!,
      t: firstAnswer.t,
      submittedAt: submit.t,
      changeId: id,
      revision: submit.revision,
      document: submit.document,
      config: submit.config as FleetConfig,
    });
  }
  record.taken.sort((a, b) => a.version - b.version);
  const hasUnansweredSubmit = [...record.submits.keys()].some((id) => !record.definiteAnswers(id).length);
  for (const event of record.seen) {
    if (event.k !== 'cfg.read') continue;
    const leastVersion = record.taken.filter((x) => x.t <= event.asked).at(-1)?.version ?? 0;
    if (event.version < leastVersion)
      record.report(
        event.last ? 'read_back' : 'config_lost',
        event.t,
        `read version ${event.version}, but ${leastVersion} was taken before`,
      );
    const accepted = record.taken.find((x) => x.version === event.version);
    const differs =
      accepted &&
      (JSON.stringify([accepted.config, accepted.document]) !== JSON.stringify([event.config, event.document]) ||
        (accepted.revision !== undefined && event.revision !== accepted.revision));
    if (differs) {
      record.report(
        'read_back',
        event.t,
        `version ${event.version} reads differently from what ${accepted.changeId} sent`,
      );
    }
    if (event.last && !hasUnansweredSubmit && !accepted && event.version > 0)
      record.report('read_back', event.t, `version ${event.version} was never sent`);
  }
}

/** With revisions the highest is in force: an answer names the revision sent or a higher one, and none lower than an earlier answer did. */
function checkRevisionAnswers(
  record: RunRecord,
  id: string,
  submit: EventOfKind<'cfg.submit'>,
  answers: EventOfKind<'cfg.answer'>[],
): void {
  if (!submit.valid) return;
  for (const x of answers) {
    if (x.revision! < submit.revision! || (x.out === 'taken') !== (x.revision === submit.revision))
      record.report('config_lost', x.t, `${id} was answered with revision ${x.revision}`);
    const accepted = record.submits.get(`revision-${x.revision}`);
    if (!accepted)
      record.report('config_lost', x.t, `${id} was answered with revision ${x.revision}, which nobody sent`);
    else if (!accepted.valid)
      record.report('invalid_taken', x.t, `${id} was answered with revision ${x.revision}, which is invalid`);
    const higherBefore = record.revisions.find((y) => y.t < x.asked! && y.revision > x.revision!);
    if (higherBefore)
      record.report(
        'config_lost',
        x.t,
        `${id} was answered with revision ${x.revision}; ${higherBefore.revision} was told before`,
      );
    const duplicate = record.revisions.find((y) => (y.version === x.version) !== (y.revision === x.revision));
    if (duplicate)
      record.report(
        'config_lost',
        x.t,
        `revision ${x.revision} is version ${x.version}, and ${duplicate.revision} is ${duplicate.version}`,
      );
  }
}
