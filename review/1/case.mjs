/** Primaries of services with SyncReplicas 1 are replaced while clients write. */
import {fileURLToPath} from 'node:url';
import {TROUBLE, configuration, runCase} from '../lib/case.mjs';
import {openSession} from '../lib/client.mjs';
import {random, sleep} from '../lib/common.mjs';
import {startGroup} from '../lib/group.mjs';

/** The file to which what was sent, answered and run is written. */
const RECORD =
  process.argv[2] ?? fileURLToPath(new URL('record.txt', import.meta.url));

/** Figures of the users' sheet and site file of Kalemdar, in milliseconds: one
 * way in a zone and between zones, a promotion, a new connection. */
const IN_ZONE_MS = 0.1;
const CROSS_ZONE_MS = 1.4;
const PROMOTE_MS = 300;
const HANDSHAKE_MS = 27;
const MAX_CONNS = 43;
const SERVICES = ['db-a', 'db-b', 'db-c'];
const ZONES = ['ist-a', 'ist-b', 'ist-c'];
/** Clients that write to each service, one statement after the other. */
const WRITERS = 8;
/** How often the primary of each service is replaced. */
const ROUNDS = 11;

const chance = random(Number(process.env.SEED ?? Date.now()));
/** Ids are drawn, like those of the platform. */
const newServerId = () =>
  `i-${Math.floor(chance() * 2 ** 32).toString(16).padStart(8, '0')}`;

/** Writes one item after the other; keeps the ids that were acknowledged. */
async function write({record, daemon, database, who, good, isOver}) {
  let session;
  let item = 0;
  while (!isOver()) {
    if (!session?.isOpen)
      session = await openSession({ip: daemon.ip, port: daemon.port, database, who, record});
    if (!session) {
      await sleep(100);
      continue;
    }
    const {id, code} = await session.ask(`WRITE ${who}${++item} data`);
    if (code === '') good.add(id);
    else if (code !== undefined) await sleep(20);
  }
  session?.leave();
}

await runCase(RECORD, async world => {
  const {record, groups} = world;
  const platform = await world.startPlatform();
  for (const name of SERVICES) {
    const group = startGroup({record, name, sync: 1, store: () => platform, promoteMs: PROMOTE_MS, handshakeMs: HANDSHAKE_MS, maxConns: MAX_CONNS, inZoneMs: IN_ZONE_MS, crossZoneMs: CROSS_ZONE_MS});
    groups.set(name, group);
    // One database in each zone.
    for (const [i, zone] of ZONES.entries())
      await group.addMember({id: newServerId(), zone, role: i === 0 ? 'primary' : 'replica'});
  }
  platform.put('config', 'main', configuration({services: SERVICES, sync: 1, maxConns: MAX_CONNS}));
  await world.startDaemons(ZONES);

  const good = new Set();
  let over = false;
  const writers = [];
  for (const name of SERVICES) {
    for (let i = 0; i < WRITERS; i++) {
      const daemon = world.daemons[i % world.daemons.length];
      const who = `w${i}${name}`;
      writers.push(write({record, daemon, database: `pri-${name}`, who, good, isOver: () => over}));
    }
  }
  await sleep(2000);

  /** The primary of a service is replaced, once in a while. */
  async function releaseAll(group) {
    for (let round = 0; round < ROUNDS; round++) {
      if (!TROUBLE) {
        await sleep(7900);
        continue;
      }
      const old = group.primaryOf();
      // The new one starts first, the old one drains.
      await group.addMember({id: newServerId(), zone: old.zone, from: old});
      await sleep(300);
      await group.release(old.id);
      await sleep(200);
    }
  }
  await Promise.all([...groups.values()].map(releaseAll));
  over = true;
  await Promise.all(writers);

  let lost = 0;
  let changes = 0;
  for (const {name, promotions} of groups.values()) {
    for (const {endpoint, missing} of promotions) {
      changes++;
      const ids = missing.filter(({id}) => good.has(id));
      lost += ids.length;
      if (ids.length > 0)
        record.say(`LOST: ${endpoint} of ${name} was promoted without ${ids.length} commits that clients were told of: ${ids.map(({id, term, number}) => `${id} at ${term}.${number}`).join(', ')}`);
    }
  }
  record.say(`${good.size} writes acknowledged to clients, ${changes} promotions, ${lost} acknowledged writes lost`);
  if (TROUBLE && changes === 0) throw new Error('no primary was replaced');
  return lost === 0;
});
