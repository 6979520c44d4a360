/**
 * A tenant leaves: one version of the configuration drops its key and its route
 * while it has a transaction open. Do statements run that were sent with the
 * dropped key later than ConfigApplyMs after the acknowledgement?
 */
import {sleep} from '../standins-3/databases.mjs';
import {openSession} from '../standins-3/client.mjs';
import {SERVICE, hasTrouble, playCase} from '../standins-3/deployment.mjs';

const CONFIG_APPLY_MS = 5000;
/** Pauses are shorter than TxIdleMs, 3000. */
const PAUSE_MS = 1500;
/** Statements of a transaction at most, BEGIN and COMMIT included. */
const STATEMENTS = 12;
const LEAVING = {database: 'lepu270', key: 'k-7f3a', name: 'tenant-a'};
const STAYING = {database: 'gemo118', key: 'k-90c1', name: 'tenant-b'};

/** A version with these routes, and the keys of `tenants`. */
function versionOf(number, routes, tenants = routes) {
  return {
    Version: number,
    Routes: routes.map(({database}, at) => ({
      Name: `r-${at}-${database}`,
      Host: database,
      Kind: 'primary',
      TimeoutMs: 800,
      TargetLatencyMs: 150,
      Priority: 1,
      Service: SERVICE,
    })),
    Tenants: tenants.map(({name, key}) => ({Name: name, ApiKeys: [key]})),
  };
}

const options = {
  config: versionOf(7, [LEAVING, STAYING]),
  params: {ConfigApplyMs: CONFIG_APPLY_MS, StrictRevoke: false, RevokeMs: 5000, QuotaWindowS: 5, QuotaExcess: 0.1, QuotaSlack: 20},
};
await playCase(import.meta.url, options, play);

async function play({databases, machines, configure, note}) {
  /** One transaction of a tenant's client on one machine. */
  async function transaction(machine, {database, key}) {
    const asked = [];
    const session = await openSession(machine, database, key);
    for (let at = 0; at < STATEMENTS; at++) {
      const text =
        at === 0 ? 'BEGIN' : at === STATEMENTS - 1 ? 'COMMIT' : at % 3 === 1 ? `WRITE 1a${at} d${at}` : `READ 1a${at}`;
      const answer = await session.ask(text);
      const {id, sentAt, code, signature} = answer;
      note({what: 'answer', machine: machine.name, database, id, text, code, signature});
      asked.push({id, text, sentAt, code, isDone: answer.isDone});
      if (!answer.isDone) break;
      await sleep(PAUSE_MS);
    }
    session.close();
    return asked;
  }

  const work = machines.map(async (machine, at) => {
    // Not all in the same slots of the primary.
    await sleep(at * 150);
    return transaction(machine, LEAVING);
  });
  work.push(sleep(1000).then(() => transaction(machines[0], STAYING)));
  await sleep(2500);
  // With DROP=key the route stays.
  const routes = process.env.DROP === 'key' ? [LEAVING, STAYING] : [STAYING];
  const acknowledgedAt = hasTrouble ? configure(versionOf(9, routes, [STAYING])) : Infinity;
  const asked = await Promise.all(work);
  const staying = asked.pop();
  if (!staying.every(({isDone}) => isDone)) throw new Error('the staying tenant was not served');

  const runs = new Set();
  for (const member of databases.members.values()) for (const {id} of member.runs) runs.add(id);
  const late = asked
    .flat()
    .filter(({id, sentAt}) => sentAt > acknowledgedAt + CONFIG_APPLY_MS && runs.has(id))
    .map(item => ({...item, msAfterAcknowledgement: item.sentAt - acknowledgedAt}));
  for (const item of late) note({what: 'run with a dropped key', ...item});
  const refused = await openSession(machines[0], LEAVING.database, LEAVING.key).then(
    session => {
      session.close();
      return 'accepted';
    },
    err => String(err),
  );
  const summary = {
    what: 'summary',
    transactions: asked.length,
    runLate: late.length,
    commitsAmongThem: late.filter(({text}) => text === 'COMMIT').length,
    latestMs: Math.max(0, ...late.map(item => item.msAfterAcknowledgement)),
    newSession: refused,
  };
  note(summary);
  console.log(JSON.stringify(summary));
  return late.length;
}
