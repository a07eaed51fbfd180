import * as echarts from 'echarts';
import { lineOf, type Drill, type Line, type Measured, type Series } from './capacity-data.js';

/** The users' target, two years out. */
export const TARGET = {
  nodes: 550,
  conns: 34_000_000,
  shards: 250_000,
  largestTopic: 260_000,
  deliveriesPerS: 2_800_000,
  lateMs: 390,
  regions: 2,
  zones: 4,
  changesPerDay: 3_100,
  forceMs: 12_000,
  controlMsPerS: 49,
  controlMB: 128,
  controlKBPerS: 5,
  controlMachines: 4,
  restartsPerDay: 220,
} as const;

/** What the target does not say, and we took from today's two sites; each is named in the page. */
export const ASSUMED = {
  /** Subscriptions a conn: 2 of one family and 1 of the other. */
  subsPerConn: 3,
  /** Deliveries a publish: (69.2 x 1.9 + 25.2 x 13.3) / 94.4 at the first site. */
  listeners: 4.9,
  /** Signs of life: the default of 2 s. */
  pingS: 2,
  /** What one loop bears without being late. */
  loopMsPerS: 700,
  /** A machine's network, as the second site's access machines have it. */
  linkMBPerS: 225,
  copies: 5,
} as const;

const DAY_S = 86_400;
const whole = (n: number): string => Math.round(n).toLocaleString('en-US');
/** Three digits that count. */
const num = (n: number): string => {
  if (!Number.isFinite(n)) return 'none';
  const a = Math.abs(n);
  if (a >= 1_000) return whole(Number(n.toPrecision(3)));
  return String(Number(n.toPrecision(a >= 100 ? 3 : 2)));
};
const bytes = (kib: number): string => {
  if (kib >= 1024 ** 2) return `${num(kib / 1024 ** 2)} GiB`;
  if (kib >= 1024) return `${num(kib / 1024)} MiB`;
  return kib >= 1 ? `${num(kib)} KiB` : `${num(kib * 1024)} B`;
};
const share = (x: number): string => `${num(x * 100)} %`;
const mean = (xs: number[]): number => xs.reduce((a, x) => a + x, 0) / xs.length;

/** The series and drills of a file by name, and what follows from them at the target. */
class Figures {
  private series: Map<string, Series>;
  private drills: Map<string, Drill>;
  private lines = new Map<string, Line>();
  constructor(readonly m: Measured) {
    this.series = new Map(m.series.map((s) => [s.id, s]));
    this.drills = new Map(m.drills.map((d) => [d.id, d]));
  }
  s(id: string): Series {
    const s = this.series.get(id);
    if (!s) throw new Error(`nothing was measured under '${id}': npm run capacity -- --only PART`);
    return s;
  }
  d(id: string): Drill {
    const d = this.drills.get(id);
    if (!d) throw new Error(`no drill '${id}': npm run capacity -- --only drills`);
    return d;
  }
  line(id: string): Line {
    let l = this.lines.get(id);
    if (!l) this.lines.set(id, (l = lineOf(this.s(id).points)));
    return l;
  }
  /** The slope that is reckoned with: where the spread is larger than the slope, the most it may be. */
  slope(id: string): number {
    const l = this.line(id);
    return l.slope > l.spread ? l.slope : Math.max(0, l.slope) + l.spread;
  }
  /** The line's value at a size. */
  at(id: string, x: number): number {
    const l = this.line(id);
    return l.base + l.slope * x;
  }
  /** The mean of what was measured at the smallest size. */
  bottom(id: string): { x: number; y: number } {
    const ps = this.s(id).points;
    const x = Math.min(...ps.map((p) => p.x));
    return { x, y: mean(ps.filter((p) => p.x === x).map((p) => p.y)) };
  }
  /** The mean of what was measured at the largest size. */
  top(id: string): { x: number; y: number } {
    const ps = this.s(id).points;
    const x = Math.max(...ps.map((p) => p.x));
    return { x, y: mean(ps.filter((p) => p.x === x).map((p) => p.y)) };
  }
  mean(id: string): number {
    return mean(this.s(id).points.map((p) => p.y));
  }
}

const told = (
  d: Drill,
): string => `${share(d.fresh)} of the nodes left may serve, ${share(d.owned)} of shards are served, a change is \
${d.change ? '' : 'not '}taken`;
/** The share of the nodes left, or of shards, that a loss stops. */
const gone = (d: Drill): number => 1 - Math.min(d.fresh, d.owned);

interface Work {
  conns: number;
  deliveries: number;
  publishes: number;
  shards: number;
  subs: number;
  nodes: number;
}
const perNode = (): Work => ({
  nodes: TARGET.nodes + TARGET.controlMachines,
  conns: TARGET.conns / TARGET.nodes,
  deliveries: TARGET.deliveriesPerS / TARGET.nodes,
  publishes: TARGET.deliveriesPerS / ASSUMED.listeners / TARGET.nodes,
  shards: TARGET.shards / TARGET.nodes,
  subs: (TARGET.conns * ASSUMED.subsPerConn) / TARGET.nodes,
});

/** What the verdict and the answers are made of; every figure in one place. */
function worked(f: Figures) {
  const w = perNode();
  const facts = TARGET.shards + w.nodes;
  // Keys change hands when a machine restarts: away from it, and back.
  const keyChangesPerS = (facts_: number): number => (TARGET.restartsPerDay * 2 * (facts_ / TARGET.nodes)) / DAY_S;
  const factKiB = f.slope('board-join');
  /** A node's share of what the board moves, KiB/s, both ways: news to four and from four; digests where boards differ,
   * about half a
   * second a change. */
  const boardKiB = (n: number): number => {
    const rate = keyChangesPerS(n);
    return rate * factKiB * 4 * 2 + 8 * Math.min(1, rate * 0.5) * f.slope('board-digest') * n;
  };
  /** A node's share of the value's way for all changes of a day, KiB/s, both ways, as measured in a fleet that ran. */
  const valueKiB = (shards: number): number =>
    ((f.slope('shard-change') * shards) / 44) * (TARGET.changesPerDay / DAY_S);
  const quietKiB = f.top('control-bytes').y;
  const quietSentKiB = quietKiB / 2;
  const budgetKiB = (TARGET.controlKBPerS * 1_000) / 1_024;
  /** The largest number of shards for which a cost, in KiB/s both ways, still fits into what the quiet fleet leaves of
   * the budget as
   * sent. */
  const breaksAt = (cost: (n: number) => number): number => {
    const room = Math.max(0, budgetKiB - quietSentKiB);
    let n = 0;
    for (let step = 2 ** 20; step >= 1; step /= 2) if (cost(n + step) / 2 <= room) n += step;
    return n;
  };
  // One call to each machine that shares shards, every 0.4 s, and as many got; each names the shards for which nothing
  // else was said.
  const callKiB = f.slope('seat-bytes') / f.slope('seat-confirms');
  const beatCalls = (shards: number): number =>
    Math.min(TARGET.nodes - 1, (shards / TARGET.nodes) * (ASSUMED.copies - 1)) / 0.4;
  const beatRequests = beatCalls(TARGET.shards);
  const beatKiBAt = (shards: number): number =>
    (f.slope('shard-bytes') * shards) / TARGET.nodes + beatCalls(shards) * 2 * callKiB;
  const beatKiB = beatKiBAt(TARGET.shards);
  const requestMs = f.slope('seat-cpu');
  const ownersMs = f.at('value-owners', TARGET.shards);
  const packMs = f.at('value-pack', TARGET.shards);
  const valueSizeKiB = f.at('value-bytes', TARGET.shards);
  const controllerMs = f.slope('value-copies') * TARGET.shards * (TARGET.nodes / 110);
  // A change spreads in steps of four; at each a node unpacks it, packs it for up to four, and the link carries those.
  const hops = Math.ceil(Math.log(w.nodes) / Math.log(4));
  const changeMs = (shards: number): number =>
    hops *
    (f.slope('value-pack') * shards * 2.5 +
      ((f.slope('value-bytes') * shards * 4) / 1_024 / ASSUMED.linkMBPerS) * 1_000);
  const changeBreaksAt = TARGET.forceMs / changeMs(1);
  const probeMs = (w.conns / ASSUMED.pingS) * f.slope('conn-probe');
  const deliverMs = w.deliveries * f.slope('deliver-cpu');
  const interestMs = w.subs * f.slope('interest-cpu');
  const interestKiB = w.subs * f.slope('interest-bytes');
  const publishRelayMs = w.publishes * f.slope('publish-relay');
  const accessMs = probeMs + deliverMs + interestMs + publishRelayMs;
  const storeMs = (w.publishes * f.slope('publish-stores') * ASSUMED.copies) / 3;
  const diskKiB = (w.publishes * f.slope('publish-disk') * ASSUMED.copies) / 3;
  const fanMs = w.deliveries * f.slope('fanout-single');
  const heartbeatMs = beatRequests * requestMs * 2;
  const connMiB = f.slope('conn-memory') * w.conns;
  const connKiB = f.slope('conn-memory') * 1_024;
  const byMemoryN = Math.floor((TARGET.controlMB * 4) / f.slope('conn-memory'));
  // Measured at the size.
  const fanSingle = f.top('fanout-single').y;
  const fanBurst = f.top('fanout-burst').y;
  const fanLate = f.top('fanout-late').y;
  const joinMs = f.slope('conn-join');
  const confirms = f.at('seat-confirms', w.nodes);
  const seatMs = f.at('seat-cpu', confirms);
  const grownMs = f.top('hollow-cpu').y - f.bottom('hollow-cpu').y;
  const idleMs = f.mean('idle-relay-cpu') + grownMs;
  const boardMiB = (f.slope('board-memory') * facts) / 1_024;
  const valueMiB = f.top('value-memory').y;
  const bytesPublish = f.slope('traffic-publish');
  const bytesAppend = f.slope('traffic-append');
  const bytesFan = f.slope('traffic-fan');
  const betweenKiB = w.publishes * (bytesPublish + bytesAppend + bytesFan * ASSUMED.listeners);
  return {
    w,
    facts,
    keyChangesPerS,
    factKiB,
    boardKiB,
    valueKiB,
    quietKiB,
    quietSentKiB,
    budgetKiB,
    breaksAt,
    beatRequests,
    beatKiB,
    beatKiBAt,
    requestMs,
    ownersMs,
    packMs,
    valueSizeKiB,
    controllerMs,
    hops,
    changeMs,
    changeBreaksAt,
    probeMs,
    deliverMs,
    interestMs,
    interestKiB,
    publishRelayMs,
    accessMs,
    storeMs,
    diskKiB,
    fanMs,
    heartbeatMs,
    connMiB,
    connKiB,
    byMemoryN,
    fanSingle,
    fanBurst,
    fanLate,
    joinMs,
    confirms,
    seatMs,
    grownMs,
    idleMs,
    boardMiB,
    valueMiB,
    bytesPublish,
    bytesAppend,
    bytesFan,
    betweenKiB,
  };
}

interface Row {
  duty: string;
  need: string;
  have: string;
  factor: number;
  drills?: Drill[];
  open?: string;
  measured: string;
  derived: string;
  step: string;
}

/**
 * The rows of the verdict, hardest gap first. `factor`: how many times too much; 1 and below is carried; Infinity stops
 * the fleet.
 */
export function verdict(m: Measured): Row[] {
  const f = new Figures(m);
  const x = worked(f);
  const { w } = x;
  const stops = (d: Drill): number => (gone(d) > 0.001 || !d.change ? Infinity : 0);
  const sent = (kib: number): number => kib / 2 / x.budgetKiB;
  // Lateness on loopback says something only where the machine had cores to spare.
  const busy = f.s('deliver-late').load > m.cores;
  const rows: Row[] = [
    {
      duty: 'The keeper works out where all copies belong, twice a second',
      need: '500 ms',
      have: `${num(x.controllerMs / 1_000)} s`,
      factor: x.controllerMs / 500,
      measured: '`value-copies` at 110 disks',
      derived: `times ${whole(TARGET.shards)} shards, times 550/110 disks`,
      step: 'B1, B4',
    },
    {
      duty: 'Digests and news of the board, one fact a shard',
      need: `${TARGET.controlKBPerS} KB/s`,
      have: `${bytes(x.boardKiB(TARGET.shards) / 2)}/s`,
      factor: sent(x.boardKiB(TARGET.shards)),
      measured: '`board-digest`, `board-join`',
      derived: `${num(x.keyChangesPerS(TARGET.shards))} keys change hands a second (${TARGET.restartsPerDay} restarts a day, away and \
back); boards differ for half a second after each`,
      step: 'B2',
    },
    {
      duty: "Owners' beats to copies: one call a pair of machines, which names each quiet shard",
      need: `${TARGET.controlKBPerS} KB/s`,
      have: `${bytes(x.beatKiB / 2)}/s in ${whole(x.beatRequests)} requests a second`,
      factor: sent(x.beatKiB),
      measured: '`shard-bytes` (44 nodes), `seat-bytes` (bytes a small call)',
      derived: `times ${num(w.shards)} shards a node; at the target a node shares shards with nearly every other`,
      step: 'B3',
    },
    {
      duty: 'The wanted owners worked out 4 times a second at each node with copies',
      need: `${TARGET.controlMsPerS} ms/s`,
      have: `${num(x.ownersMs * 4)} ms/s`,
      factor: (x.ownersMs * 4) / TARGET.controlMsPerS,
      measured: '`value-owners`',
      derived: 'times 4 a second',
      step: 'B1',
    },
    {
      duty: "The register's value, whole, to every node at every change",
      need: `${TARGET.controlKBPerS} KB/s`,
      have: `${bytes(x.valueKiB(TARGET.shards) / 2)}/s; the value alone is ${bytes(x.valueSizeKiB)}`,
      factor: sent(x.valueKiB(TARGET.shards)),
      measured: '`shard-change`, `value-bytes`',
      derived: `times ${whole(TARGET.shards)} shards, ${whole(TARGET.changesPerDay)} changes a day`,
      step: 'B1',
    },
    {
      duty: 'A change in force everywhere, with 250,000 shards',
      need: `${TARGET.forceMs / 1_000} s`,
      have: `${num(x.changeMs(TARGET.shards) / 1_000)} s`,
      factor: x.changeMs(TARGET.shards) / TARGET.forceMs,
      measured: '`value-pack`, `value-bytes`',
      derived: `${x.hops} steps of the news; at each the value is packed and unpacked and goes to four over ${ASSUMED.linkMBPerS} MB/s`,
      step: 'B1',
    },
    {
      duty: "Conns of one access machine in today's one process",
      need: `${whole(w.conns)}`,
      have: 'a bound of 4,000',
      factor: w.conns / 4_000,
      measured: `\`conn-memory\` up to ${whole(f.top('conn-memory').x)} conns`,
      derived: 'the bound is a constant of the kernel',
      step: 'B5',
    },
    {
      duty: "An access machine's processor, one loop",
      need: `${ASSUMED.loopMsPerS} ms/s`,
      have: `${num(x.accessMs)} ms/s: signs of life ${num(x.probeMs)}, publishes taken ${num(x.publishRelayMs)}, interest \
${num(x.interestMs)}, deliveries ${num(x.deliverMs)}`,
      factor: x.accessMs / ASSUMED.loopMsPerS,
      measured: '`conn-probe`, `publish-relay`, `interest-cpu`, `deliver-cpu`',
      derived: "slopes times the node's share",
      step: 'B5, B6',
    },
    {
      duty: 'Owners and copies, one loop',
      need: `${ASSUMED.loopMsPerS} ms/s`,
      have: `${num(x.storeMs)} ms/s for publishes, ${num(x.fanMs)} ms/s for fanning`,
      factor: (x.storeMs + x.fanMs) / ASSUMED.loopMsPerS,
      measured: '`publish-stores`, `fanout-single`',
      derived: `${whole(w.publishes)} publishes a second and node (assumed ${ASSUMED.listeners} listeners a publish), five copies for \
three`,
      step: 'B7',
    },
    {
      duty: 'Memory of control at a node (board and what it stands on)',
      need: `${TARGET.controlMB} MB`,
      have: `${num(x.boardMiB + x.valueMiB + f.mean('idle-relay-memory'))} MiB: an idle process ${num(f.mean('idle-relay-memory'))}, the \
board's facts ${num(x.boardMiB)}, the value ${num(x.valueMiB)}`,
      factor: (x.boardMiB + x.valueMiB + f.mean('idle-relay-memory')) / ((TARGET.controlMB * 1e6) / 1024 ** 2),
      measured: '`board-memory`, `value-memory`, `idle-relay-memory`',
      derived: `${whole(x.facts)} facts; an idle process holds more than control`,
      step: 'B1, B2',
    },
    {
      duty: 'Quiet control, 32 shards: bytes',
      need: `${TARGET.controlKBPerS} KB/s`,
      have: `${num(x.quietSentKiB * 1.024)} KB/s sent (${num(x.quietKiB * 1.024)} sent and got) at ${whole(f.top('control-bytes').x)} \
nodes, mean of all without a seat; the busiest, which owns shards, ${num((f.top('control-bytes-most').y / 2) * 1.024)}`,
      factor: f.top('control-bytes-most').y / 2 / x.budgetKiB,
      measured: '`control-bytes`, `control-bytes-most`',
      derived: 'frames alone, without TCP and IP; the verdict is of the busiest',
      step:
        f.top('control-bytes-most').y / 2 > x.budgetKiB
          ? 'B3'
          : 'carried by partial views, probes in turn and sums before digests',
    },
    {
      duty: 'Quiet control, 32 shards: processor',
      need: `${TARGET.controlMsPerS} ms/s`,
      have: `${num(x.idleMs)} ms/s: ${num(f.mean('idle-relay-cpu'))} a real relay in a small fleet \
(${f.line('idle-relay-cpu').sizes.join(', ')} processes), ${num(x.grownMs)} more a hollow node at ${whole(f.top('hollow-cpu').x)} nodes \
than in a small fleet`,
      factor: x.idleMs / TARGET.controlMsPerS,
      measured: '`idle-relay-cpu`, `hollow-cpu`',
      derived:
        'added up; requests a node do not grow with nodes, but each looks members up by walking over all of them (`ofDisk`, \
`live`, `watch`)',
      step: 'B2',
    },
    {
      duty: 'A change in force everywhere, 32 shards',
      need: `${TARGET.forceMs / 1_000} s`,
      have: `${num(f.top('config-force').y)} ms at ${whole(f.top('config-force').x)} nodes`,
      factor: f.top('config-force').y / TARGET.forceMs,
      measured: '`config-force`, measured at the size (links of 0.5 to 6 ms)',
      derived: 'between regions add their delay for each of the steps',
      step: 'carried by news with the revision, and by confirmations',
    },
    {
      duty: "A seat's confirmations",
      need: `${ASSUMED.loopMsPerS} ms/s of its own machine`,
      have: `${num(x.seatMs)} ms/s for ${whole(x.confirms)} a second`,
      factor: x.seatMs / ASSUMED.loopMsPerS,
      measured: '`seat-confirms` (virtual), `seat-cpu` (real)',
      derived: 'one times the other',
      step: 'carried; with 12 s allowed they may be four times rarer (`applyMs`)',
    },
    {
      duty: 'The largest topic: one message to its relays',
      need: `${TARGET.lateMs} ms`,
      have: `${num(x.fanLate + TARGET.lateMs * 0.1 + (TARGET.largestTopic / TARGET.nodes) * f.slope('deliver-cpu'))} ms: last relay \
${num(x.fanLate)} (99 in 100), flush ${num(TARGET.lateMs * 0.1)}, ${num(TARGET.largestTopic / TARGET.nodes)} conns a relay \
${num((TARGET.largestTopic / TARGET.nodes) * f.slope('deliver-cpu'))}`,
      factor:
        (x.fanLate + TARGET.lateMs * 0.1 + (TARGET.largestTopic / TARGET.nodes) * f.slope('deliver-cpu')) /
        TARGET.lateMs,
      measured: '`fanout-late`, `deliver-cpu`',
      derived: 'added up; the way between regions and the sync come on top',
      step: "carried by interest a node, not a listener; above one owner's rate B10",
    },
    {
      duty: 'A delivery, 99 in 100, in one relay process',
      need: `${TARGET.lateMs} ms`,
      have: `${num(f.top('deliver-late').y)} ms at ${whole(f.top('deliver-late').x)} a second, \
${num(Math.min(...f.s('deliver-late').points.map((p) => p.y)))} to ${num(Math.max(...f.s('deliver-late').points.map((p) => p.y)))} at all \
rates; half of all ${num(f.top('deliver-usual').y)} ms`,
      factor: (busy ? f.top('deliver-usual') : f.top('deliver-late')).y / TARGET.lateMs,
      ...(busy
        ? {
            open: `a load of ${num(f.s('deliver-late').load)} on ${m.cores} cores is in these 99 in 100; half of all use \
${share(f.top('deliver-usual').y / TARGET.lateMs)}`,
          }
        : {}),
      measured: '`deliver-late`, `deliver-usual`',
      derived: 'nothing; the way between regions comes on top',
      step:
        !busy && f.top('deliver-late').y > TARGET.lateMs
          ? 'B5'
          : 'frames pushed while interest lives, the flush at a tenth of the \
aim; to be measured on a quiet machine',
    },
    {
      duty: 'A planned restart: its conns join the others within 3 s',
      need: `${whole(ASSUMED.loopMsPerS * 3)} ms of a loop`,
      have: `${num((w.conns / (TARGET.nodes - 1)) * x.joinMs)} ms at each other node for ${whole(w.conns / (TARGET.nodes - 1))} joins`,
      factor: ((w.conns / (TARGET.nodes - 1)) * x.joinMs) / (ASSUMED.loopMsPerS * 3),
      measured: '`conn-join`',
      derived: 'spread evenly by the platform',
      step: 'carried by spread times to go, and a bound on conns',
    },
    {
      duty: 'Two of the four control machines gone at once, both with a seat',
      need: 'nothing stops',
      have: `five seats: ${told(f.d('loss-two-control'))}; seats on the control machines alone, three: ${told(f.d('loss-two-seats'))}`,
      factor: stops(f.d('loss-two-control')),
      drills: [f.d('loss-two-control')],
      measured: 'drills',
      derived: 'none',
      step: stops(f.d('loss-two-control'))
        ? 'B8'
        : 'carried by `losses: 2` and stores that may take seats; not by three seats',
    },
    {
      duty: 'Two of the four control machines gone, 90 s apart, seats on them alone',
      need: 'nothing stops',
      have: told(f.d('loss-two-in-turn')),
      factor: stops(f.d('loss-two-in-turn')),
      drills: [f.d('loss-two-in-turn')],
      measured: 'drill',
      derived: 'none',
      step: stops(f.d('loss-two-in-turn')) ? 'B8' : 'carried: the keeper gives the seat of the first to the spare',
    },
    {
      duty: 'A region gone',
      need: 'the other goes on',
      have: `${told(f.d('loss-region'))}; the other way round: ${told(f.d('loss-region-other'))}`,
      factor: Math.max(stops(f.d('loss-region')), stops(f.d('loss-region-other'))),
      drills: [f.d('loss-region'), f.d('loss-region-other')],
      measured: 'drills, `placement-region`',
      derived: 'none',
      step: 'B9',
    },
    {
      duty: 'Regions apart',
      need: 'both go on with what is theirs',
      have: `north: ${told(f.d('split-north'))}; south: ${told(f.d('split-south'))}`,
      factor: Math.max(stops(f.d('split-north')), stops(f.d('split-south'))),
      drills: [f.d('split-north'), f.d('split-south')],
      measured: 'drills',
      derived: 'none',
      step: 'B9',
    },
    ...(['loss-three', 'loss-rack', 'loss-zone'] as const).map((id): Row => ({
      duty: f.d(id).title,
      need: 'nothing stops for long',
      have: `${told(f.d(id))}; a shard is without an owner for ${whole(f.d(id).gapMs)} ms at most`,
      factor: stops(f.d(id)),
      drills: [f.d(id)],
      measured: `drill, ${f.d(id).nodes} nodes`,
      derived: 'the machines refuse connections; a frozen one is noticed later, see `frozen-suspected`',
      step: 'carried by copies spread over zones and keys taken under a fence',
    })),
  ];
  // What stops the fleet first, the most stopped of it before the rest.
  const lost = (r: Row): number => (r.factor === Infinity ? mean((r.drills ?? []).map(gone)) : 0);
  return rows.sort((a, b) => (b.factor === a.factor ? lost(b) - lost(a) : b.factor - a.factor));
}

function verdictOf(r: Row): string {
  if (r.open !== undefined) return `not judged: ${r.open}`;
  if (r.factor === Infinity)
    return `**not carried**: ${share(Math.max(...(r.drills ?? []).map(gone)))} of what is left stops at the \
worst`;
  if (r.factor > 1) return `**not carried**, ${num(r.factor)} times too much`;
  if (r.factor === 0) return 'carried';
  return `carried, ${share(r.factor)} of it used`;
}

/** Size at the target that a slope is carried to; without one it is used as a rate. */
function targetOf(f: Figures, id: string): number | undefined {
  const w = perNode();
  if (/^(control|seat-requests|seat-bytes|seat-confirms|hollow|config|frozen|idle)/.test(id)) return w.nodes;
  if (/^(value|shard)/.test(id)) return TARGET.shards;
  if (id.startsWith('board')) return TARGET.shards + w.nodes;
  if (id.startsWith('interest')) return w.subs;
  if (id === 'conn-memory' || id === 'conn-join') return w.conns;
  if (id === 'conn-probe') return w.conns / ASSUMED.pingS;
  if (id.startsWith('deliver')) return w.deliveries;
  if (id.startsWith('publish')) return w.publishes;
  if (id.startsWith('fanout')) return TARGET.nodes;
  if (id === 'seat-cpu') return f.at('seat-confirms', w.nodes);
  return undefined;
}

/** How far the slopes that a row names are carried, and how sure they are. */
function stretch(f: Figures, r: Row): string {
  const ids = [...r.measured.matchAll(/`([a-z-]+)`/g)].map((m) => m[1]!).filter((id) => targetOf(f, id) !== undefined);
  if (!ids.length) return r.drills ? `played with ${r.drills[0]!.nodes} nodes` : 'measured';
  const times = Math.max(...ids.map((id) => targetOf(f, id)! / f.line(id).sizes.at(-1)!));
  const spread = Math.max(...ids.map((id) => Math.abs(f.line(id).spread / f.line(id).slope)));
  return `${times <= 1.05 ? 'measured at the size' : `${num(times)} times`}, ${
    spread > 1
      ? 'no clear slope: the most it may be'
      : `± \
${share(spread)}`
  }`;
}

const STEPS: [string, (x: ReturnType<typeof worked>, f: Figures) => string][] = [
  [
    'B1. Placement by rule, not by table',
    (
      x,
      f,
    ) => `The register's value keeps the disks, their weights and the rule's number; where a shard's copies are follows from them \
(rendezvous, as today's \`assignReplicas\` does), and only exceptions are written down: shards that are under way from one placement to the \
next, and those placed by hand. The value is then as large as the fleet and its moves, not as the topic space. Orders are worked out for a \
shard when it is asked for, and anew only for shards that a changed disk touches, instead of all of them several times a second. One \
issue: the rule and its exceptions beside the table, both answering in the simulator until they agree at every step; then the table goes. \
Worth: rows of the keeper, owners and the value (${bytes(x.valueSizeKiB)} becomes some ${bytes(f.bottom('value-bytes').y + 500 * f.slope('value-bytes'))}, \
with 500 shards under way).`,
  ],
  [
    'B2. Keys by lease at the copies, not on the board',
    (
      x,
    ) => `Who owns a shard is asked of its copies (the first that answers names the owner under its fence) and remembered by who asked; \
a machine that takes or gives its keys says one fact for all of them. The board then has ${whole(x.w.nodes)} facts. Members by disk and by \
state get an index, instead of a walk over all. One issue: \`route\` asks copies, \`announce\` says one fact a machine, the board's key \
records go.`,
  ],
  [
    'B3. Beats that name only what changed, and copies in groups',
    (
      x,
    ) => `Beats are one call a pair of machines already, but each names every quiet shard, and with copies matched shard by shard nearly \
every machine shares something with every other. Named by a sum over the shards of a pair, and spelled out only where the sums differ, a \
beat is as large as a confirmation; at 2.4 s, which a bound of 12 s allows, ${whole(x.beatRequests)} calls a second are \
${whole(x.beatRequests / 6)}; with copies in groups of some 20 machines (copysets) they are ${whole(19 / 2.4)}. Two issues: the sum in the \
beat; placement in groups, after B1.`,
  ],
  [
    'B4. The keeper in parts',
    () =>
      'The keeper looks at the shards that a change touched, not at all; its duty is split by shard range among the control machines, \
each range under a lease of the register. One issue, after B1.',
  ],
  [
    'B5. A machine of many processes',
    (
      x,
    ) => `Conns are spread over processes of one machine that share one membership: one process speaks for the machine to the fleet, the \
others hold conns and speak to it over loopback, so that the fleet has ${whole(x.w.nodes)} members and not ${whole(x.w.nodes * Math.ceil(x.w.conns / 4_000))}. \
The platform starts the processes; nothing in the product does. One issue: a relay that takes its board, register and interest from a \
neighbour process.`,
  ],
  [
    'B6. Signs of life without requests',
    (
      x,
    ) => `${whole(x.w.conns / ASSUMED.pingS)} HTTP requests a second and machine are ${share(x.probeMs / x.accessMs)} of its processor \
time. The client's line on the connection it has already, or any byte on it, renews; the ping is told by the server and grows with the \
conns it has (10 s at the target, 30 s on phones). Two issues: sign of life on the conn's own stream; ping by load.`,
  ],
  [
    'B7. Fewer bytes and commits a message',
    (
      x,
      f,
    ) => `A copy writes ${num((f.slope('publish-disk') / 3) * 1)} KiB for a message of 100 bytes: each small transaction rewrites pages \
of several tables. An append-only log of segments for entries, folded into SQLite at the trim, writes each once. Owners of one machine \
share commits already. One issue: the segment log behind \`state\`, with the same kill-and-damage tests.`,
  ],
  [
    'B8. Seats by region, counted in the open',
    (
      x,
      f,
    ) => `Four control machines alone have three seats (an even number bears no more), so two at once may be a majority: \
${told(f.d('loss-two-seats'))}. With \`losses: 2\` there are five, control disks first and the fifth on a machine with copies: \
${told(f.d('loss-two-control'))}. What is missing: a check, when a node starts and when a configuration is taken, that the seats that can \
be had bear the losses that are asked for, and a spread of seats over regions and not only zones. One issue.`,
  ],
  [
    'B9. A third place, and a home region',
    () =>
      "With two regions one of them has the majority of any odd set, for the register and for each shard, so no placement bears the \
loss of either. Two ways, both worth having: a **witness** in a third place (a disk that votes and keeps fences and lengths, no bodies; \
one small machine can bear the votes of all shards only after B1 to B3), and **home regions**: a family's shards have four of five copies \
(or all) in the region where its clients are, so that regions apart both go on with their own topics. An operator's declared loss (a new \
placement generation without the lost region, fenced in the register) is the last resort, and loses what only the lost region had \
accepted. Three issues: copies by region; witness copies; declared loss with its drill.",
  ],
  [
    'B10. A tree for topics above one owner',
    (
      x,
    ) => `One owner's loop bears ${num(ASSUMED.loopMsPerS / x.fanSingle)} messages a second to all ${TARGET.nodes} relays when they come \
one at a time, ${num(ASSUMED.loopMsPerS / x.fanBurst)} when they come together. Above that, or when the body times ${TARGET.nodes} fills \
the owner's link (${num((ASSUMED.linkMBPerS * 1e6) / TARGET.nodes / 1e3)} KB a second of bodies), the owner sends to one relay in each \
zone, which passes on to those of its zone; gaps are mended from history as today. It also takes the bytes between zones from \
${TARGET.nodes} to ${TARGET.zones} a message. One issue: a relay as a passer-on, with the generation check kept at the final send.`,
  ],
];

/**
 * The page: prose, and figures that all come from the file. The same file gives the same page.
 * @example
 * writeFileSync('docs/CAPACITY.md', pageOf(readMeasured('docs/capacity.json')));
 */
export function pageOf(m: Measured): string {
  const f = new Figures(m);
  const x = worked(f);
  const { w } = x;
  const rows = verdict(m);
  const commits = [...new Set([...m.series, ...m.drills].map((s) => s.commit))];
  const loads = m.series.map((s) => s.load);
  const out: string[] = [];
  const p = (s: string): void => {
    out.push(s, '');
  };
  const table = (head: string[], body: string[][]): void => {
    out.push(
      `| ${head.join(' | ')} |`,
      `|${head.map(() => '---').join('|')}|`,
      ...body.map((r) => `| ${r.join(' | ')} |`),
      '',
    );
  };

  p('# Capacity: the target two years out');
  p(`This page is written by \`npm run capacity\` from [capacity.json](capacity.json) and the prose in \
\`packages/trial/src/capacity-page.ts\`; \`capacity.test.ts\` fails when they part. Figures are of commit${commits.length > 1 ? 's' : ''} \
${commits.map((c) => `\`${c}\``).join(', ')}, on one machine of ${m.cores} cores and ${m.memoryGiB} GiB with Node ${m.node}, which other \
work shared: the load average was ${num(Math.min(...loads))} to ${num(Math.max(...loads))} when the parts began. Counts, bytes and virtual \
time do not depend on that; processor times and latencies on loopback do, and are rather too high than too low. **Measured** is what a run \
gave; **worked out** is slope times size, and says so; **assumed** is what the target leaves open.`);
  p('## The target, and how it is read');
  table(
    ['the letter', 'a node'],
    [
      [`${TARGET.nodes} nodes, ${whole(TARGET.conns)} connections`, `${whole(w.conns)} connections`],
      [`${whole(TARGET.shards)} shards`, `${num(w.shards)} owned, ${num(w.shards * ASSUMED.copies)} copies`],
      [
        `${whole(TARGET.deliveriesPerS)} deliveries a second, 99 in 100 within ${TARGET.lateMs} ms`,
        `${whole(w.deliveries)} a second`,
      ],
      [
        `${whole(TARGET.changesPerDay)} changes a day, in force within ${TARGET.forceMs / 1_000} s`,
        `one every ${num(DAY_S / TARGET.changesPerDay)} s`,
      ],
      [
        `control: 4.9 % of a core, ${TARGET.controlMB} MB, ${TARGET.controlKBPerS} KB/s`,
        'bytes are read as sent; what is got is as much again, on the mean',
      ],
      [
        `${TARGET.restartsPerDay} restarts a day, 3 failures; a rack, a zone, a region now and then`,
        `${num((TARGET.restartsPerDay * w.conns) / DAY_S)} joins a second in the fleet, on the mean`,
      ],
    ],
  );
  p(`Assumed, from today's sites where the letter says nothing: all ${TARGET.nodes} nodes hold connections and keep copies, the \
${TARGET.controlMachines} control machines are apart; ${ASSUMED.subsPerConn} subscriptions a connection, nearly all of different topics on \
one node; ${ASSUMED.listeners} deliveries a publish, so ${whole(w.publishes * TARGET.nodes)} publishes a second in the fleet, bodies of \
100 bytes (fewer publishes with more listeners cost owners less, see \`publish-stores\`); a sign of life every ${ASSUMED.pingS} s; one \
loop bears ${ASSUMED.loopMsPerS} ms of work a second; ${ASSUMED.linkMBPerS} MB/s a machine.`);
  p('## Verdict, hardest gap first');
  p(
    'What stops the fleet stands first; then by how many times too much. "Carried how far" is the longest extrapolation among the slopes \
that are named, and their largest spread (two standard errors, as a share of the slope). The last column names the mechanism that carries \
the row, or the step (below) that will.',
  );
  table(
    [
      'duty',
      'allowed',
      'at the target',
      'verdict',
      'measured',
      'worked out by',
      'carried how far',
      'mechanism or step',
    ],
    rows.map((r) => [r.duty, r.need, r.have, verdictOf(r), r.measured, r.derived, stretch(f, r), r.step]),
  );
  p('## The building to come');
  for (const [name, text] of STEPS) p(`**${name}.** ${text(x, f)}`);

  p('## Worked answers');
  p(`**${whole(w.conns)} connections a node.** A connection with one subscription takes ${num(x.connKiB)} KiB of a relay (\`conn-memory\`, \
up to ${whole(f.top('conn-memory').x)} conns), so ${num(x.connMiB / 1_024)} GiB a machine, worked out over ${num(w.conns / f.top('conn-memory').x)} \
times the measured size; two more subscriptions each add some ${bytes(f.slope('interest-memory') * 1_024 * 2)} (\`interest-memory\`, \
both sides). One Node process takes 4,000 by its bound, so ${Math.ceil(w.conns / 4_000)} processes; by processor time \
${Math.ceil(x.accessMs / ASSUMED.loopMsPerS)} loops, ${share(x.probeMs / x.accessMs)} of that for signs of life over HTTP (\`conn-probe\`: \
${num(f.slope('conn-probe'))} ms each; lines on a connection that is there already were not measured). Without them it is \
${Math.ceil((x.accessMs - x.probeMs) / ASSUMED.loopMsPerS)} (B6). Not carried by one process a machine: B5, B6.`);
  p(`**${whole(TARGET.largestTopic)} listeners on a topic.** Interest is said by nodes, so an owner fans to ${TARGET.nodes} at most, \
however many listen; each relay then writes ${num(TARGET.largestTopic / TARGET.nodes)} frames (${num((TARGET.largestTopic / TARGET.nodes) * f.slope('deliver-cpu'))} \
ms). One message to ${TARGET.nodes} hollow relays costs the owner ${num(x.fanSingle)} ms of processor when it comes alone and \
${num(x.fanBurst)} ms in company of 20, and the last relay has it after ${num(f.top('fanout-last').y)} ms (half) or ${num(x.fanLate)} ms \
(99 in 100): measured at ${whole(f.top('fanout-single').x)} relays on loopback. One owner is enough up to ${num(ASSUMED.loopMsPerS / x.fanSingle)} \
messages a second on such a topic; above, B10 relays it.`);
  p(`**${whole(TARGET.shards)} shards.** Today's number is a constant, 32; here it was set to ${f.line('shard-requests').sizes.join(', ')} \
in a trial's own process. The value grows by ${bytes(f.slope('value-bytes'))} a shard (${bytes(x.valueSizeKiB)} at the target, \
${
  f.top('value-bytes').x >= TARGET.shards
    ? 'measured at the size'
    : `worked out over ${num(TARGET.shards / f.top('value-bytes').x)} \
times`
}), and a change moves it ${num(f.slope('shard-change') / f.slope('value-bytes') / 44)} times a node, sent and got (measured with 44 \
nodes; ballots carry it to and from each seat, and each node fetches it). Of the ${TARGET.controlKBPerS} KB/s the quiet fleet uses \
${num(x.quietSentKiB * 1.024)}; the rest is used up by the value's way at **${whole(x.breaksAt(x.valueKiB))} shards** \
(${whole(TARGET.changesPerDay)} changes a day), by owners' beats at **${whole(x.breaksAt(x.beatKiBAt))}**, by the board's key facts at \
**${whole(x.breaksAt(x.boardKiB))}**; all three together at **${whole(x.breaksAt((n) => x.valueKiB(n) + x.boardKiB(n) + x.beatKiBAt(n)))}**. \
The 12 s break at some **${whole(x.changeBreaksAt)}** (worked out: ${x.hops} steps, each packs, unpacks and sends the value to four); the \
wanted owners, worked out 4 times a second, break 4.9 % of a core at **${whole(TARGET.controlMsPerS / 4 / f.slope('value-owners'))}**. \
What replaces the flat table: B1 for the value, B2 for the board, B3 for beats, B4 for the keeper. A replaced machine moves \
${whole(w.shards * ASSUMED.copies)} copies, two changes of the register each, 8 shards a change: ${whole((w.shards * ASSUMED.copies * 2) / 8)} \
changes, so ${TARGET.restartsPerDay} of them a day would be ${whole((TARGET.restartsPerDay * w.shards * ASSUMED.copies * 2) / 8)} changes, \
${num((TARGET.restartsPerDay * w.shards * ASSUMED.copies * 2) / 8 / TARGET.changesPerDay)} times the operators': restarts within 45 s move \
nothing, replacements need B1.`);
  p(`**${whole(TARGET.deliveriesPerS)} deliveries a second.** ${whole(w.deliveries)} a node at ${num(f.slope('deliver-cpu') * 1_000)} µs \
each are ${num(x.deliverMs)} ms/s, ${
    w.deliveries > f.top('deliver-cpu').x
      ? `worked out over ${num(w.deliveries / f.top('deliver-cpu').x)} \
times`
      : 'within'
  } the measured ${whole(f.top('deliver-cpu').x)} a second, where half took ${num(f.top('deliver-usual').y)} ms on \
loopback, of which the flush is up to 39, and 99 in 100 ${num(f.top('deliver-late').y)} ms beside other work (load \
${num(f.s('deliver-late').load)} on ${m.cores} cores; at the other rates ${num(Math.min(...f.s('deliver-late').points.map((q) => q.y)))} \
and more). The fan-out from owners: with ${ASSUMED.listeners} listeners a publish on as many nodes, ${whole(w.deliveries)} frames a second \
and node, ${num(x.fanMs)} ms/s alone. Deliveries themselves are carried; the publishes behind them cost ${num(x.storeMs)} ms/s a node at \
owners and copies and write ${bytes(x.diskKiB)} a second to its disk: B7.`);
  p(`**Two regions.** Five copies over four zones lie 2, 1, 1, 1: any zone may go (\`placement-zone\`: ${num(f.top('placement-zone').y)} % \
of shards keep a majority), and ${num(f.top('placement-region').y)} % of shards keep theirs without the worse region. Five seats lie 3 to \
2: one region can change the configuration and confirm, the other can't. Measured: with the south gone ${told(f.d('loss-region'))}; with \
the north gone ${told(f.d('loss-region-other'))} (which region has the majority of the seats is as the seats came to lie). While regions \
lose each other, the side without the register's majority stops within 2.4 s (${share(
    1 - Math.min(f.d('split-north').fresh, f.d('split-south').fresh),
  )} of its nodes may not serve), the other serves the shards whose majority it has: \
${share(Math.max(f.d('split-north').owned, f.d('split-south').owned))}. Nothing is lost or told twice, but half the connections and more \
than half the topics wait. B9. Each accept of a shard whose majority spans regions also waits for the way between them.`);
  p(`**Four control machines.** They have four of five seats (\`losses: 2\`; the fifth is on a machine with copies), the keeper's duty at \
one of them, and each answers ${whole(x.confirms)} confirmations a second (every node asks a majority, in turn): ${num(x.seatMs)} ms/s and \
${bytes(f.at('seat-bytes', w.nodes))}/s a seat. Two gone at once: ${told(f.d('loss-two-control'))}. With seats on the four alone, so three \
seats and a spare: ${told(f.d('loss-two-seats'))}; the second 90 s after the first: ${told(f.d('loss-two-in-turn'))}. B8.`);
  p(`**${TARGET.restartsPerDay} restarts a day with ${whole(w.conns)} joins each.** A planned restart sends its conns away over 3 s: \
${whole(w.conns / (TARGET.nodes - 1))} to each other node, ${num((w.conns / (TARGET.nodes - 1)) * x.joinMs)} ms of processor there \
(\`conn-join\`: ${num(x.joinMs)} ms a join with its subscription), ${share(((w.conns / (TARGET.nodes - 1)) * x.joinMs) / 3_000)} of a loop \
for those 3 s; joins go where the platform sends them, so this holds if it spreads them. A day's ${whole(TARGET.restartsPerDay * w.conns)} \
joins are ${num((TARGET.restartsPerDay * w.conns * x.joinMs) / DAY_S / TARGET.nodes)} ms/s a node. The interest of a restarted node is \
said anew: ${whole(w.subs)} topics. With one fact a shard on the board its start would fetch ${bytes(x.factKiB * x.facts)}: B2.`);
  p(`**A rack, a zone, a region.** A rack and a zone are carried as far as ${f.d('loss-zone').nodes} hollow nodes show (below). What the \
rest must take: a zone's ${whole(TARGET.conns / TARGET.zones)} conns join three quarters of the nodes, ${whole(w.conns / 3)} each, \
${num(((w.conns / 3) * x.joinMs) / 1_000)} s of a loop's time, so ${num(((w.conns / 3) * x.joinMs) / ASSUMED.loopMsPerS)} s in one process \
a machine and ${num(((w.conns / 3) * x.joinMs) / ASSUMED.loopMsPerS / Math.ceil(w.conns / 4_000))} s in ${Math.ceil(w.conns / 4_000)}; \
machines need room for a third more conns. A region doubles every node's: room for twice as many, and ${num((w.conns * x.joinMs) / ASSUMED.loopMsPerS / Math.ceil(w.conns / 4_000))} \
s of joining. The bound of conns and the time to come back that refused ones are told carry the wave: nobody is lost by it, but it \
lasts.`);

  p('## By role, at the target');
  p('For one machine; slope times size unless marked *measured at the size*.');
  table(
    ['role', 'state held', 'messages a second', 'processor', 'memory', 'disk', 'bytes'],
    [
      [
        'access',
        `${whole(w.conns)} conns, ${whole(w.subs)} subscriptions`,
        `${whole(w.conns / ASSUMED.pingS)} signs of life in, ${whole(w.deliveries)} deliveries out, ${whole(w.publishes)} publishes in`,
        `${num(x.accessMs)} ms/s`,
        `${num(x.connMiB / 1_024)} GiB, subscriptions ${num((f.slope('interest-memory') * w.subs) / 1_024)} GiB (both sides)`,
        'none',
        `interest ${bytes(x.interestKiB)}/s`,
      ],
      [
        'owner and copies',
        `${num(w.shards)} shards owned, ${num(w.shards * ASSUMED.copies)} copies`,
        `${whole(w.publishes)} accepted, ${whole(w.publishes * ASSUMED.copies)} entries kept, ${whole(w.deliveries)} frames fanned, \
${whole(x.beatRequests)} beats`,
        `${num(x.storeMs)} ms/s, fanning ${num(x.fanMs)}, beats ${num(x.heartbeatMs)}`,
        `history of 60 s: ${whole(w.publishes * ASSUMED.copies * 60)} entries`,
        `${bytes(x.diskKiB)}/s written`,
        `publishes, copies and frames ${bytes(x.betweenKiB)}/s, beats ${bytes(x.beatKiB)}/s`,
      ],
      [
        'seat',
        `the value: ${bytes(x.valueSizeKiB)}`,
        `${whole(x.confirms)} confirmations`,
        `${num(x.seatMs)} ms/s`,
        'the value, packed and unpacked',
        `the value at each change: ${bytes((x.valueSizeKiB * TARGET.changesPerDay) / DAY_S)}/s`,
        `${bytes(f.at('seat-bytes', w.nodes))}/s`,
      ],
      [
        'control at every node',
        `${whole(w.nodes)} members (*measured at the size*), ${whole(TARGET.shards)} key facts`,
        `${num(f.top('control-requests').y)} requests got (*measured at the size*)`,
        `${num(f.mean('idle-relay-cpu'))} ms/s`,
        `${num(f.top('hollow-memory').y)} MiB hollow (*measured at the size, 32 shards*); key facts ${num(x.boardMiB)} MiB`,
        'none',
        `${bytes(x.quietKiB)}/s sent and got (*measured at the size, 32 shards*)`,
      ],
    ],
  );
  p(`Between zones and regions, worked out from \`traffic-publish\`, \`traffic-append\` and \`traffic-fan\` (${bytes(x.bytesPublish)}, \
${bytes(x.bytesAppend)} and ${bytes(x.bytesFan)} a message): of random pairs three quarters lie in different zones and half in different \
regions, so of a node's ${bytes(x.betweenKiB)}/s ${bytes(x.betweenKiB * 0.75)}/s go between zones and ${bytes(x.betweenKiB * 0.5)}/s \
between regions, ${bytes(x.betweenKiB * 0.5 * TARGET.nodes)}/s in all; home regions (B9) and the tree (B10) take most of the latter.`);

  p('## Losses, played');
  p(`${f.d('loss-three').nodes} hollow nodes in four zones of two regions (four control machines, every fifth of the others with copies, \
five seats where nothing else is said), virtual time, 15 s after the loss; \`${f.d('loss-three').command}\`, commit \
\`${f.d('loss-three').commit}\`. "Without an owner" counts only owners whom a majority of copies answered lately.`);
  table(
    ['loss', 'nodes left that may serve', 'shards served', 'longest without an owner', 'a change'],
    m.drills.map((d) => [
      d.title,
      share(d.fresh),
      share(d.owned),
      d.owned < 1 ? 'to the end' : `${whole(d.gapMs)} ms`,
      d.change ? 'taken' : 'not taken',
    ]),
  );

  p('## Slopes');
  p(
    'Least squares through all points; the spread is two standard errors of the slope. Where it is larger than the slope, the page reckons \
with slope and spread added, the most it may be. The last column: how many times the largest measured size the target is (1 and below: \
measured at the size or beyond). Where a line fits badly (r² low), the quantity hardly depends on the size, or was disturbed by the other \
work; the plot tells.',
  );
  table(
    ['slope', 'what', 'for each of', 'slope', 'spread', 'r²', 'sizes', 'way', 'commit, load', 'extrapolated'],
    m.series.map((s) => {
      const l = f.line(s.id);
      const to = targetOf(f, s.id);
      return [
        `[${s.id}](capacity/${s.id}.svg)`,
        `${s.title} (${s.y})`,
        s.x,
        num(l.slope),
        `± ${num(l.spread)}`,
        l.r2.toFixed(2),
        l.sizes.map((n) => num(n)).join(', '),
        s.way,
        `\`${s.commit}\`, ${num(s.load)}`,
        to === undefined ? 'a rate' : `${num(to / l.sizes.at(-1)!)} times`,
      ];
    }),
  );
  p('To have them again:');
  out.push(
    '```',
    ...[...new Set([...m.series.map((s) => s.command), ...m.drills.map((d) => d.command)])].sort(),
    '```',
    '',
  );
  p('## What is not in these figures');
  out.push(
    "- Real machines: all processes shared one machine's cores, loopback for a network and one disk. Nothing here says what a link \
between regions or a slow disk adds.",
    "- Hollow nodes run the real membership, register, board, keeper, owners and copies, but their clock, network and disk sync are the \
simulator's, and one process runs them all; their processor time leaves out sockets and has the simulator's own work in it.",
    '- TCP and IP headers, retransmissions and TLS: bytes are those of frames.',
    "- Connections were measured with one subscription each and without messages, over the product's own HTTP; 62,000 descriptors in one \
process were not tried (its bound is 4,000).",
    `- Five copies: stores were three in the loopback runs; the figures for five are five thirds of it. The largest simulated fleet had \
${whole(f.top('control-bytes').x)} nodes and 32 shards; 250,000 shards were never run together with it.`,
    '- A row extrapolated more than ten times is an order of magnitude, no more.',
    '',
  );
  return out.join('\n').replace(/\n{3,}/g, '\n\n');
}

/**
 * A plot of each slope as SVG, by name; the same file gives the same plots.
 * @example
 * plotsOf(m).get('conn-memory'); // '<svg width="560" ...'
 */
export function plotsOf(m: Measured): Map<string, string> {
  const out = new Map<string, string>();
  for (const s of m.series) {
    const l = lineOf(s.points);
    const from = Math.min(...s.points.map((p) => p.x));
    const to = Math.max(...s.points.map((p) => p.x));
    const c = echarts.init(null, null, { renderer: 'svg', ssr: true, width: 560, height: 360 });
    c.setOption({
      animation: false,
      title: {
        text: s.id,
        subtext: `${s.title} (${s.commit}, load ${s.load})`,
        textStyle: { fontSize: 14 },
        subtextStyle: { fontSize: 10 },
      },
      grid: { left: 70, right: 30, top: 70, bottom: 50 },
      xAxis: { type: 'value', name: s.x, nameLocation: 'middle', nameGap: 28 },
      yAxis: { type: 'value', name: s.y },
      series: [
        { type: 'scatter', symbolSize: 7, data: s.points.map((p) => [p.x, p.y]) },
        { type: 'line', showSymbol: false, data: [from, to].map((x) => [x, l.base + l.slope * x]) },
      ],
    });
    // Class names count on through all charts of a process; here they begin anew in each.
    const names = new Map<string, string>();
    const svg = c.renderToSVGString().replace(/zr\d+-[a-z]+-?\d+/g, (name) => {
      if (!names.has(name)) names.set(name, `zr-${names.size}`);
      return names.get(name)!;
    });
    out.set(s.id, `${svg}\n`);
    c.dispose();
  }
  return out;
}
