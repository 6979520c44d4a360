/**
 * A deployment starts for the first time while the store answers reads that allow
 * old data with data that is seconds old. A tenant asks for more than its limit. Do
 * more of its operations run in a window than the rule allows?
 */
import {sleep} from '../standins-3/databases.mjs';
import {openSession} from '../standins-3/client.mjs';
import {SERVICE, hasTrouble, playCase} from '../standins-3/deployment.mjs';

const DATABASE = 'lepu270';
const KEY = 'k-7f3a';
const RATE_PER_S = 20;
const BURST = 40;
const WINDOW_S = 5;
const EXCESS = 0.1;
const SLACK = 20;
const ALLOWED = (RATE_PER_S * WINDOW_S + BURST) * (1 + EXCESS) + SLACK;
/** The age of old data: as long as `platform_compact` has by default, 3 s. */
const STALE_MS = 3000;
/** The sheets of demands/ let traffic start 16 s after the machines. */
const TRAFFIC_AT_MS = 16_000;
const TRAFFIC_MS = 8000;
const SESSIONS_PER_MACHINE = 3;

const options = {
  staleMs: hasTrouble ? STALE_MS : 0,
  databases: {readMs: 5},
  params: {
    ContactMs: 5000,
    ConfigApplyMs: 5000,
    StrictRevoke: false,
    RevokeMs: 5000,
    QuotaWindowS: WINDOW_S,
    QuotaExcess: EXCESS,
    QuotaSlack: SLACK,
  },
  config: {
    Version: 7,
    Routes: [
      {
        Name: 'r-1',
        Host: DATABASE,
        Kind: 'bounded_stale',
        MaxStalenessMs: 1500,
        TimeoutMs: 800,
        TargetLatencyMs: 300,
        Priority: 1,
        Service: SERVICE,
      },
    ],
    Tenants: [{Name: 'tenant-a', ApiKeys: [KEY], RatePerS: RATE_PER_S, Burst: BURST}],
  },
};
await playCase(import.meta.url, options, play);

/** The most of `items` that are both sent and run in a window of the rule. */
function mostInWindow(items) {
  let most = {count: 0};
  for (const {sentAt: from} of items) {
    const until = from + WINDOW_S * 1000;
    const count = items.filter(item => item.sentAt >= from && item.ranAt < until).length;
    if (count > most.count) most = {count, from};
  }
  return most;
}

async function play({databases, machines, machinesStartedAt, note}) {
  await sleep(machinesStartedAt + TRAFFIC_AT_MS - Date.now());
  const from = Date.now();
  const asked = [];

  async function ask(machine, number) {
    let session;
    while (Date.now() < from + TRAFFIC_MS) {
      session = session?.isOpen ? session : await openSession(machine, DATABASE, KEY).catch(() => undefined);
      if (!session) {
        await sleep(50);
        continue;
      }
      const {id, sentAt, code, isDone} = await session.ask(`READ 1a${number}`);
      note({what: 'answer', machine: machine.name, id, code});
      asked.push({id, sentAt, code, isDone});
      await sleep(isDone ? 5 : 40);
    }
    session?.close();
  }

  const work = [];
  for (const machine of machines)
    for (let number = 0; number < SESSIONS_PER_MACHINE; number++) work.push(ask(machine, number));
  await Promise.all(work);

  const ranAt = new Map();
  for (const member of databases.members.values())
    for (const {id, at} of member.runs) if (!ranAt.has(id)) ranAt.set(id, at);
  const ran = asked
    .filter(({id}) => ranAt.has(id))
    .map(({id, sentAt}) => ({id, sentAt, ranAt: ranAt.get(id)}))
    .sort((a, b) => a.sentAt - b.sentAt);
  if (ran.length === 0) throw new Error('no operation ran');
  const most = mostInWindow(ran);
  const summary = {
    what: 'summary',
    asked: asked.length,
    ran: ran.length,
    mostInWindow: most.count,
    allowed: ALLOWED,
    windowFromMs: most.from - machinesStartedAt,
    refused: asked.filter(({code}) => code === 'BUSY').length,
  };
  note(summary);
  console.log(JSON.stringify(summary));
  return most.count > ALLOWED ? 1 : 0;
}
