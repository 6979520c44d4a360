/**
 * A service with SyncReplicas 1 whose replicas lag: one applies late, the other
 * receives nothing for a while, and the primary crashes meanwhile. Is each
 * acknowledged commit in the log of the database that is promoted?
 */
import {sleep} from '../standins-3/databases.mjs';
import {openSession} from '../standins-3/client.mjs';
import {SERVICE, SLOTS, hasTrouble, playCase} from '../standins-3/deployment.mjs';

/** With NEIGHBOUR=0 nobody else reads at the databases. */
const hasNeighbour = process.env.NEIGHBOUR !== '0';
const DATABASE = 'lepu270';
const LAG_MS = 60;
/** Doses of the site file's `replica_lag`: x = 60, for_s = 6.5, how = "deaf". */
const LAG_X = 60;
const DEAF_MS = 6500;
/** From the one's falling behind to the other's silence, and then to the crash. */
const BEHIND_MS = 1000;
const CRASH_AFTER_MS = 1500;
const WRITERS = 8;

const config = {
  Version: 7,
  Routes: [
    {
      Name: 'r-1',
      Host: DATABASE,
      Kind: 'primary',
      TimeoutMs: 800,
      TargetLatencyMs: 150,
      Priority: 1,
      Service: SERVICE,
    },
  ],
};

await playCase(import.meta.url, {databases: {syncReplicas: 1, applyMs: LAG_MS}, config}, play);

async function play({databases, machines, host, note}) {
  let isOver = false;
  const acknowledged = [];
  const counts = {sent: 0, promised: 0, unknown: 0};

  /** One client: single writes, one after the other, on any machine. */
  async function write(number) {
    for (let turn = number; !isOver; turn++) {
      const machine = machines[turn % machines.length];
      const session = await openSession(machine, DATABASE, `u${number}`).catch(() => undefined);
      for (let at = 0; at < 20 && session?.isOpen && !isOver; at++) {
        counts.sent++;
        const {id, text, code, signature, isDone, answeredAt} = await session.ask(
          `WRITE ${number}a${at} d${turn}x${at}`,
        );
        note({what: 'answer', id, text, code, signature});
        if (isDone) acknowledged.push({id, text, answeredAt});
        else if (code && code !== 'INDOUBT' && code !== 'TIMEOUT') counts.promised++;
        else counts.unknown++;
        await sleep(isDone ? 60 : 300);
        if (!isDone) break;
      }
      session?.close();
      if (!session) await sleep(100);
    }
  }

  /**
   * A reader that is connected to a database itself, as other callers are. Those
   * of a report fill its slots most of the time, and ask again when told BUSY.
   */
  async function readBeside(id) {
    const {port} = databases.members.get(id);
    while (!isOver) {
      const session = await openSession({ip: host, port}, SERVICE, `report ${id}`).catch(() => undefined);
      while (session?.isOpen && !isOver) {
        const {isDone} = await session.ask('READ 1a1');
        await sleep(isDone ? 1 : 5);
      }
      await sleep(50);
    }
  }

  const work = [];
  for (let number = 0; number < WRITERS; number++) work.push(write(number));
  if (hasNeighbour) for (let number = 0; number < SLOTS; number++) work.push(readBeside('i-3'));
  await sleep(4000);

  if (hasTrouble) {
    databases.members.get('i-3').applyMs = LAG_MS * LAG_X;
    note({what: 'trouble', text: 'i-3 receives at once and applies late'});
    await sleep(BEHIND_MS);
    databases.members.get('i-2').deaf = true;
    note({what: 'trouble', text: 'i-2 receives nothing'});
    setTimeout(() => {
      databases.members.get('i-2').deaf = false;
      note({what: 'trouble', text: 'i-2 receives again'});
    }, DEAF_MS).unref();
    await sleep(CRASH_AFTER_MS);
    note({what: 'trouble', text: 'i-1 crashes'});
    databases.crash('i-1');
    const until = Date.now() + 12_000;
    while (databases.promotions.length === 0 && Date.now() < until) await sleep(50);
    if (databases.promotions.length === 0) throw new Error('no database was promoted');
  }
  await sleep(4000);
  isOver = true;
  await Promise.all(work);
  if (acknowledged.length === 0) throw new Error('no write was acknowledged');

  const [promotion] = databases.promotions;
  const isLost = ({id, answeredAt}) => answeredAt <= promotion.at && !promotion.log.includes(id);
  const lost = promotion ? acknowledged.filter(isLost) : [];
  const summary = {
    what: 'summary',
    ...counts,
    acknowledged: acknowledged.length,
    promoted: promotion?.id,
    lost: lost.length,
    lostButHeldByRunningReplica: lost.filter(({id}) => promotion.logs['i-3'].includes(id)).length,
  };
  for (const item of lost) note({what: 'lost', ...item});
  note(summary);
  console.log(JSON.stringify(summary));
  return lost.length;
}
