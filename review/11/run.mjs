/**
 * A service with SyncReplicas 1 whose replicas lag: one applies late, the other
 * receives nothing for a while, and the primary crashes meanwhile. Is each
 * acknowledged commit in the log of the database that is promoted?
 */
import {sleep} from '../standins-3/databases.mjs';
import {openSession} from '../standins-3/client.mjs';
import {SERVICE, hasTrouble, playCase} from '../standins-3/deployment.mjs';

const WRITTEN = 'lepu270';
const READ = 'gemo118';
const LAG_MS = 60;
/** The site file's `replica_lag` has x = 60 and more, for_s = 6.5, how = "deaf". */
const LAG_X = 30;
const DEAF_MS = 6500;
/** From the one's falling behind to the other's silence, and then to the crash. */
const BEHIND_MS = 2000;
const CRASH_AFTER_MS = 1000;
const WRITERS = 4;
/**
 * Some 230 of their reads run in a second; the nine slots could run 300. READERS=0
 * leaves them out.
 */
const READERS = Number(process.env.READERS ?? 28);

const config = {
  Version: 7,
  Routes: [
    {
      Name: 'r-1',
      Host: WRITTEN,
      Kind: 'primary',
      TimeoutMs: 800,
      TargetLatencyMs: 150,
      Priority: 1,
      Service: SERVICE,
    },
    {
      Name: 'r-2',
      Host: READ,
      Kind: 'read_own',
      MaxStalenessMs: 2500,
      TimeoutMs: 800,
      TargetLatencyMs: 250,
      Priority: 2,
      Service: SERVICE,
    },
  ],
};

await playCase(import.meta.url, {databases: {syncReplicas: 1, applyMs: LAG_MS}, config}, play);

async function play({databases, machines, note}) {
  let isOver = false;
  const acknowledged = [];
  const counts = {sent: 0, promised: 0, unknown: 0, reads: 0, readsRefused: 0};

  /** One client: single writes, one after the other, on any machine. */
  async function write(number) {
    for (let turn = number; !isOver; turn++) {
      const machine = machines[turn % machines.length];
      const session = await openSession(machine, WRITTEN, `u${number}`).catch(() => undefined);
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

  /** Another client: reads, one after the other, on any machine. */
  async function read(number) {
    for (let turn = number; !isOver; turn++) {
      const machine = machines[turn % machines.length];
      const session = await openSession(machine, READ, `r${number}`).catch(() => undefined);
      for (let at = 0; at < 40 && session?.isOpen && !isOver; at++) {
        const {isDone} = await session.ask(`READ 1a${at}`);
        if (isDone) counts.reads++;
        else counts.readsRefused++;
        await sleep(40);
      }
      session?.close();
      if (!session) await sleep(100);
    }
  }

  const work = [];
  for (let number = 0; number < WRITERS; number++) work.push(write(number));
  for (let number = 0; number < READERS; number++) work.push(read(number));
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
