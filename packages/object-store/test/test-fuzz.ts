/**
 * Answers of the platform under arbitrary input: an error of another type than
 * PlatformDownError is not taken for an absent platform, and one entry that is
 * none must not hide the other instances.
 */
import assert from 'node:assert/strict';
import http from 'node:http';
import type net from 'node:net';
import {after, before, it} from 'node:test';
import fc from 'fast-check';
import {mutated, oddValue} from '@quetzalreel/checks';
import {
  ConflictError,
  type PlatformClient,
  PlatformDownError,
  httpPlatformClient,
} from '../src/index.js';

const SEED = 55;
const HOST = '127.0.0.1';

const INSTANCE = {
  id: 'i-1',
  address: '10.0.0.1:1',
  dataCentre: 'z',
  leaving: false,
};
const BODIES = [[INSTANCE, {...INSTANCE, id: 'i-2'}], {groups: []}] as const;

const answer = fc.record({
  status: fc.constantFrom(200, 200, 200, 204, 304, 404, 412, 500),
  version: fc.constantFrom(undefined, '"3"', '3', '""', '"-1"', '"1e300"', 'x'),
  text: fc.oneof(
    fc
      .oneof(...BODIES.map(mutated), oddValue)
      .map(value => JSON.stringify(value) ?? ''),
    fc.string(),
  ),
});

let server: http.Server;
let client: PlatformClient;
let current: {status: number; version: string | undefined; text: string};

before(async () => {
  server = http.createServer((_req, res) => {
    const {status, version, text} = current;
    res.writeHead(status, version === undefined ? {} : {ETag: version});
    res.end(status === 204 || status === 304 ? '' : text);
  });
  await new Promise<void>(resolve => server.listen(0, HOST, () => resolve()));
  const {port} = server.address() as net.AddressInfo;
  client = httpPlatformClient({url: `http://${HOST}:${port}`, timeoutMs: 5000});
});
after(() => {
  server.close();
  server.closeAllConnections();
});

function assertVersion(version: number): void {
  assert.ok(Number.isSafeInteger(version) && version >= 0, `${version}`);
}

it('an answer gives a version and instances with addresses, or a documented error', async () => {
  const property = fc.asyncProperty(answer, async item => {
    current = item;
    const calls = [
      async () => {
        const object = await client.get('a');
        if (object) assertVersion(object.version);
      },
      async () => assertVersion(await client.put('a', 1, undefined)),
      async () => {
        const object = await client.watch('a', 1, 0);
        if (object) assertVersion(object.version);
      },
      async () => {
        for (const {id, address} of await client.instances()) {
          assert.equal(typeof id, 'string');
          assert.equal(typeof address, 'string');
        }
      },
    ];
    for (const call of calls) {
      try {
        await call();
      } catch (err) {
        const isKnown =
          err instanceof PlatformDownError || err instanceof ConflictError;
        assert.ok(isKnown, String(err));
      }
    }
  });
  await fc.assert(property, {seed: SEED, numRuns: 60});
});
