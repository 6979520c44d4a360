/** Machines of a zone are stopped in turn while clients come and go. */
import {fileURLToPath} from 'node:url';
import {startBalancer} from '../lib/balancer.mjs';
import {TROUBLE, configuration, runCase} from '../lib/case.mjs';
import {openSession} from '../lib/client.mjs';
import {now, random, sleep} from '../lib/common.mjs';
import {startGroup} from '../lib/group.mjs';

/** The file to which what was sent, answered and run is written. */
const RECORD =
  process.argv[2] ?? fileURLToPath(new URL('record.txt', import.meta.url));

const SERVICE = 'db-a';
const ZONE = 'fortaleza';
const MACHINES = 3;
const GRACE_MS = 6000;
const LOSS_SLACK_MS = 200;
/** Between the SIGTERMs of two machines; `gap_s` of the users' roll_term. */
const GAP_MS = 1300;
const ROLLS = 6;
/** Operations a second of the zone's clients. */
const RATE = 90;
/** A client that begins a transaction, writes, and remains idle. */
const RESTING_EVERY_MS = 400;

const chance = random(7);
/** Work of a statement: about 20 ms, at most 220. */
const workMs = () => Math.min(220, 20 * Math.exp(0.7 * (chance() + chance() + chance() - 1.5) * 2));

async function operate({record, balancer, who, route, attempts}) {
  for (let i = 0; i < 3; i++) {
    const node = balancer.pick(who, i);
    const session = await openSession({ip: node.ip, port: node.port, database: `${route}-${SERVICE}`, who, record});
    if (!session) continue;
    const answer = await session.ask(`READ ${who}`);
    attempts.push({...answer, node, endedAt: now()});
    session.terminate();
    if (answer.code === '') return;
  }
}

async function rest({record, balancer, who}) {
  const node = balancer.pick(who);
  const session = await openSession({ip: node.ip, port: node.port, database: `pri-${SERVICE}`, who, record});
  if (!session) return;
  await session.ask('BEGIN');
  await session.ask(`WRITE ${who} data`);
}

await runCase(RECORD, async world => {
  const {record, groups} = world;
  const platform = await world.startPlatform();
  const group = startGroup({record, name: SERVICE, store: () => platform, workMs});
  groups.set(SERVICE, group);
  for (const i of [1, 2, 3])
    await group.addMember({id: `i-${i}`, zone: ZONE, role: i === 1 ? 'primary' : 'replica'});
  platform.put('config', 'main', configuration({services: [SERVICE]}));
  await world.startDaemons(Array(MACHINES).fill(ZONE));
  const machines = [...world.daemons];
  const balancer = startBalancer({record, nodes: () => machines});
  await sleep(2500);

  const attempts = [];
  let over = false;
  async function traffic() {
    for (let i = 0; !over; i++) {
      const route = chance() < 0.3 ? 'bnd' : 'own';
      void operate({record, balancer, who: `u${i}`, route, attempts});
      await sleep(1000 / RATE);
    }
  }
  async function resting() {
    for (let i = 0; !over; i++) {
      void rest({record, balancer, who: `r${i}`});
      await sleep(RESTING_EVERY_MS);
    }
  }
  const running = [traffic(), resting()];
  await sleep(3000);

  /** Stops a machine as the platform does, and starts it again. */
  async function roll(at) {
    const old = machines[at];
    old.stoppedAt = now();
    // As long as a stop and a start take.
    if (!TROUBLE) return sleep(6500);
    old.signal('SIGTERM');
    const kill = setTimeout(() => old.kill(), GRACE_MS);
    while (old.exitedAt === undefined) await sleep(10);
    clearTimeout(kill);
    machines[at] = await world.restart(old);
  }
  for (let i = 0; i < ROLLS; i++) {
    const first = roll(i % MACHINES);
    await sleep(GAP_MS);
    await Promise.all([first, roll((i + 1) % MACHINES)]);
    await sleep(5000);
  }
  over = true;
  await Promise.all(running);
  await sleep(1500);

  const runs = new Map(group.runs.map(run => [run.id, run]));
  let lost = 0;
  for (const {id, code, node, sentAt, endedAt} of attempts) {
    if (code !== undefined || node.stoppedAt === undefined) continue;
    const sentMs = Math.round(sentAt - node.stoppedAt);
    const endedMs = Math.round(endedAt - node.stoppedAt);
    if (endedMs < 0 || endedMs > GRACE_MS + 1000) continue;
    const isPassedOn = group.passed.has(id);
    // Excuse: the database was at work in the last sixth of GraceS on a request
    // that was sent no later than 3 s after the SIGTERM.
    const isExcused = sentMs <= 3000 && endedMs >= (GRACE_MS * 5) / 6;
    const isCounted = isPassedOn || endedAt - sentAt > LOSS_SLACK_MS;
    if (isExcused || !isCounted) continue;
    lost++;
    record.say(`LOST: ${id} sent to ${node.name} ${sentMs} ms after its SIGTERM, ${isPassedOn ? 'passed on to a database' : 'read'}, closed without an answer at ${endedMs} ms${runs.has(id) ? ', run' : ''}`);
  }
  record.say(`${attempts.length} requests, ${lost} of them lost around a planned stop`);
  return lost === 0;
});
