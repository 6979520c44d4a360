// Another writer puts large entries beside those of the databases; TROUBLE=0: its
// entries are short.
import {appendFileSync, rmSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {startDatabase} from '../lib-2/databases.mjs';
import {machines, sleep} from '../lib-2/machines.mjs';
import {openSession} from '../lib-2/client.mjs';
import {startStore} from '../lib-2/store.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const RECORD = path.join(path.dirname(fileURLToPath(import.meta.url)), 'record.txt');
const ZONES = ['recife', 'fortaleza', 'natal'];
const SERVICES = ['entries-1', 'entries-2', 'entries-3'];
/** As in the site file, whose 204 sessions stand on six machines. */
const SLOTS = 3;
const MAX_CONNS = 22;
const SESSIONS_OF_MACHINE = 34;
const TIMEOUT_MS = 2000;
const DEADLINE_MS = 8000;
const WORK_MS = 30;
/** Pause of a client between two reads, in milliseconds. */
const REST_MS = 300;
/** An answer's rows and their bytes, as in the site file. */
const ANSWER = {rows: 2, rowBytes: 500};
/** Entries of the other writer, each below `ValueBytes`, 1,048,576. */
const ODD_ENTRIES = 8;
const ODD_ITEMS = 340_000;
/** Pause between two of its writes, in milliseconds. */
const ODD_PAUSE_MS = 500;
/** Ends by themselves, on so many machines, that break the rule "Fault". */
const ENDS = 3;
const MACHINES = 2;
const PLAY_MS = 60_000;
/** Time of calm before the other writer begins, in milliseconds. */
const CALM_MS = 3000;

const startedAt = Date.now();
writeFileSync(RECORD, '');
function record(text) {
  const line = `${((Date.now() - startedAt) / 1000).toFixed(3)} ${text}\n`;
  appendFileSync(RECORD, line);
}

const store = await startStore('127.43.0.1');
const front = machines({store: store.address, record});
const counts = {sent: 0, run: 0, success: 0, error: {}, deadline: 0, closed: 0, mixed: 0};

async function startPlatform() {
  let host = 10;
  for (const service of SERVICES) {
    for (const [i, zone] of ZONES.entries()) {
      const id = `i-${service}-${i}`;
      const db = await startDatabase({
        id,
        service,
        ip: `127.43.1.${host++}`,
        leads: i === 0,
        slots: SLOTS,
        maxConns: MAX_CONNS,
        workMs: WORK_MS,
        sizeOf: () => ANSWER,
        onRun: () => counts.run++,
      });
      store.put('servers', id, {
        Service: service,
        Address: db.address,
        Zone: zone,
        Version: 'v1',
        Slots: SLOTS,
        State: 'ready',
        ColdLeftMs: 0,
        SeqNo: 1,
        DbRole: db.leads ? 'primary' : 'replica',
        born: Date.now(),
      });
    }
  }
  store.put('config', 'main', {
    Version: 1,
    Routes: SERVICES.map(service => ({
      Name: `list-${service}`,
      Host: `db-${service}`,
      Kind: 'bounded_stale',
      MaxStalenessMs: 1500,
      TimeoutMs: TIMEOUT_MS,
      TargetLatencyMs: 500,
      Priority: 2,
      Service: service,
    })),
    Services: SERVICES.map(Name => ({Name, MaxConns: MAX_CONNS, SyncReplicas: 0})),
    Limits: {TxIdleMs: 3000},
  });
}

let isOver = false;

/** Writes entries that lack fields, with a field that the pages don't name. */
async function writeOddEntries() {
  const more = Array.from({length: TROUBLE ? ODD_ITEMS : 3}, () => ({}));
  for (let i = 0; i < ODD_ENTRIES; i++) {
    const entry = {Service: SERVICES[0], State: 'ready', More: more};
    const bytes = JSON.stringify(entry).length;
    store.put('servers', `w-${i}`, entry);
    record(`another writer wrote servers/w-${i}, ${bytes} bytes`);
    await sleep(ODD_PAUSE_MS);
  }
}

/** One client: a session of reads, opened again when it was closed. */
async function client(machine, number) {
  const database = `db-${SERVICES[number % SERVICES.length]}`;
  let reads = 0;
  while (!isOver) {
    const session = openSession(machine.ip, database);
    const opened = await session.start();
    while (!isOver && opened.type === 'opened') {
      const id = `${machine.name}-${number}-${++reads}`;
      counts.sent++;
      const answer = await session.query(id, `READ page`, DEADLINE_MS);
      if (answer.type === 'success') {
        counts.success++;
        if (!answer.signature.endsWith(`.${id}`)) counts.mixed++;
      } else if (answer.type === 'error') {
        counts.error[answer.code] = (counts.error[answer.code] ?? 0) + 1;
      } else {
        counts[answer.type]++;
        break;
      }
      await sleep(REST_MS);
    }
    session.close();
    await sleep(REST_MS);
  }
}

function manyEnds() {
  return front.all.filter(({ownEnds}) => ownEnds >= ENDS).length >= MACHINES;
}

async function play() {
  await startPlatform();
  for (const [i, zone] of ZONES.entries()) front.add(`front-${zone}-1`, `127.43.2.${i + 1}`, zone);
  if (!(await front.ready(20_000))) return 2;
  record('all machines are ready; clients begin');
  for (const machine of front.all)
    for (let i = 0; i < SESSIONS_OF_MACHINE; i++) void client(machine, i);
  await sleep(CALM_MS);
  void writeOddEntries();
  const until = Date.now() + PLAY_MS;
  while (Date.now() < until && !manyEnds()) await sleep(200);
  isOver = true;
  const served = counts.success > 0;
  for (const {name, starts, ownEnds} of front.all)
    record(`${name}: ${starts} starts, ${ownEnds} ends by itself`);
  record(`reads: ${JSON.stringify(counts)}`);
  if (manyEnds()) return 1;
  return served ? 0 : 2;
}

let code = 2;
try {
  code = await play();
} catch (err) {
  record(`the case couldn't run: ${err.stack}`);
}
record(`exit ${code}: ${['the rule held', 'the rule was broken', "the case couldn't run"][code]}`);
await front.end();
rmSync(front.folder, {recursive: true, force: true});
process.exit(code);
