/**
 * A service with SyncReplicas 1. One replica receives nothing for a while; the
 * primary and the other replica are cut off from all machines for some seconds and
 * go on running. Is each acknowledged commit in the log of the database that is
 * promoted, if one is?
 */
import {sleep} from '../standins-3/databases.mjs';
import {openSession} from '../standins-3/client.mjs';
import {SERVICE, hasTrouble, playCase} from '../standins-3/deployment.mjs';

const DATABASE = 'lepu270';
/** Doses of the site file: `replica_lag`, count = 1, how = "deaf", for_s = 6.5. */
const DEAF_MS = 6500;
/** And `node_cut`, how = "servers", for_s = 5.5. */
const CUT_MS = 5500;
const CUT_AFTER_MS = 2000;
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

await playCase(import.meta.url, {databases: {syncReplicas: 1}, config}, play);

async function play({databases, machines, note}) {
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

  const work = [];
  for (let number = 0; number < WRITERS; number++) work.push(write(number));
  await sleep(4000);

  if (hasTrouble) {
    databases.members.get('i-2').deaf = true;
    note({what: 'trouble', text: 'i-2 receives nothing'});
    setTimeout(() => {
      databases.members.get('i-2').deaf = false;
      note({what: 'trouble', text: 'i-2 receives again'});
    }, DEAF_MS).unref();
    await sleep(CUT_AFTER_MS);
    note({what: 'trouble', text: 'i-1 and i-3 are cut off from all machines'});
    for (const id of ['i-1', 'i-3']) databases.cut(id);
    await sleep(CUT_MS);
    for (const id of ['i-1', 'i-3']) databases.heal(id);
    note({what: 'trouble', text: 'the cut has healed'});
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
    lostButHeldByOthers: lost.filter(({id}) => promotion.logs['i-1'].includes(id) && promotion.logs['i-3'].includes(id)).length,
  };
  for (const item of lost) note({what: 'lost', ...item});
  note(summary);
  console.log(JSON.stringify(summary));
  return lost.length;
}
