/** A small deployment for one script: a service, the store and six machines. */
import fs from 'node:fs';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {startService} from './databases.mjs';
import {registerDatabases, startMachines, startStore} from './platform.mjs';

export const SERVICE = 'huvo11a';
export const ZONES = ['recife', 'fortaleza', 'natal'];
export const SLOTS = 3;
const MAX_CONNS = 22;
const READY_MS = 20_000;

/** Whether the script plays the disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

function freeNet() {
  const part = () => 1 + Math.floor(Math.random() * 250);
  return `127.${64 + Math.floor(Math.random() * 60)}.${part()}`;
}

/**
 * Starts a deployment, runs `play(deployment)`, which returns the number of times
 * that the rule was broken, ends everything that was started and exits: with 1 if
 * it was broken, 0 if it held, 2 if the case couldn't run.
 */
export async function playCase(moduleUrl, {databases: change = {}, config, params, machines = 6, staleMs = 0}, play) {
  const folder = path.dirname(fileURLToPath(moduleUrl));
  const root = path.resolve(folder, '../..');
  const record = fs.createWriteStream(path.join(folder, 'record.txt'));
  const startedAt = Date.now();
  const note = item => record.write(`${Date.now() - startedAt} ms ${JSON.stringify(item)}\n`);
  const owned = [];
  let status;

  function end(code) {
    for (const item of owned.splice(0).reverse()) item.stop();
    record.end(() => process.exit(code));
  }
  // Also where the script is stopped, nothing that it started goes on.
  for (const signal of ['SIGTERM', 'SIGINT']) process.once(signal, () => end(2));
  process.once('uncaughtException', err => {
    console.error(err);
    end(2);
  });
  try {
    const net = freeNet();
    const host = `${net}.2`;
    const databases = await startService(['i-1', 'i-2', 'i-3'], {
      service: SERVICE,
      host,
      slots: SLOTS,
      maxConns: MAX_CONNS,
      handshakeMs: 12,
      readMs: 30,
      writeMs: 6,
      receiveMs: 1,
      applyMs: 60,
      syncReplicas: 0,
      promoteMs: 1000,
      note,
      onRole: () => entries.noteRoles(),
      ...change,
    });
    owned.push(databases);
    const store = await startStore(`${net}.1`, (_, id) => databases.promote(id), note, staleMs);
    owned.push(store);
    const entries = registerDatabases(store, SERVICE, databases, ZONES, SLOTS, host);
    owned.push(entries);
    /** Writes a configuration; the store's answer is its acknowledgement. */
    const configure = version => {
      store.put('config', 'main', {
        Services: [{Name: SERVICE, MaxConns: MAX_CONNS, SyncReplicas: change.syncReplicas ?? 0}],
        Limits: {TxIdleMs: 3000},
        ...version,
      });
      note({what: 'configuration acknowledged', ...version});
      return Date.now();
    };
    configure(config);
    const names = Array.from({length: machines}, (_, at) => `front-${at + 1}`);
    const fleet = startMachines(root, names, {net, zones: ZONES, storeAddress: store.address, params});
    owned.push(fleet);
    const machinesStartedAt = Date.now();
    if (!(await fleet.ready(READY_MS))) throw new Error('the machines are not ready');
    note({what: 'ready'});
    const broken = await play({databases, store, configure, note, host, fleet, machines: fleet.machines, machinesStartedAt});
    status = broken > 0 ? 1 : 0;
  } catch (err) {
    console.error(String(err));
    note({what: 'not run', why: String(err)});
    status = 2;
  }
  end(status);
}
