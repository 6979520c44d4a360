import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
  Access,
  type EndpointConnection,
  type EndpointRequest,
  SessionState,
  localAnswer,
} from '@quetzalreel/requests';
import {
  NO_SETTINGS,
  pooledConnection,
  withValue,
} from '../src/pooled-connection.js';

const SEED = 11;

/** A connection that accepts everything, and what was sent on it. */
function recordingConnection() {
  const sent: EndpointRequest[] = [];
  const connection = {
    endpoint: 'i-1',
    isOpen: true,
    async send(req: EndpointRequest) {
      sent.push(req);
      return localAnswer(SessionState.Idle);
    },
  } as unknown as EndpointConnection;
  return {connection, sent};
}

describe('session variables on a shared connection', () => {
  it('of another session with "=" elsewhere in name and value are not taken for the same', () => {
    const {connection, sent} = recordingConnection();
    const pooled = pooledConnection(connection, 0);
    pooled.applySettings(withValue(NO_SETTINGS, 'mode=strict', 'on'));
    sent.length = 0;
    pooled.applySettings(withValue(NO_SETTINGS, 'mode', 'strict=on'));
    assert.deepEqual(sent, [
      {type: 'discard'},
      {type: 'set', name: 'mode', value: 'strict=on'},
    ]);
  });

  it('have one key if and only if names and values are the same', () => {
    const unit = fc.constantFrom('a', '=', '\n');
    const text = fc.string({unit, maxLength: 3});
    const variables = fc.dictionary(text, text, {
      maxKeys: 2,
      noNullPrototype: true,
    });
    const settingsOf = (all: Record<string, string>) =>
      Object.entries(all).reduce(
        (settings, [name, value]) => withValue(settings, name, value),
        NO_SETTINGS,
      );
    fc.assert(
      fc.property(variables, variables, (a, b) => {
        const [first, second] = [settingsOf(a), settingsOf(b)];
        const isSame =
          JSON.stringify(Object.entries(a).sort()) ===
          JSON.stringify(Object.entries(b).sort());
        assert.equal(first.key === second.key, isSame);
      }),
      {seed: SEED, numRuns: 3000},
    );
  });
});

describe('a shared connection', () => {
  const prepared = (length: number) => ({
    access: Access.Read,
    shape: 's'.repeat(length),
  });

  it('is cleared when more is prepared on it than sessions usually need', () => {
    const {connection, sent} = recordingConnection();
    const pooled = pooledConnection(connection, 0);
    pooled.applySettings(withValue(NO_SETTINGS, 'mode', 'on'));
    for (let i = 0; i < 9; i++) pooled.statementName(prepared(1000 + i));
    sent.length = 0;
    pooled.trim();
    assert.deepEqual(sent, []);
    const long = pooled.statementName(prepared(300_000));
    pooled.trim();
    assert.deepEqual(sent.at(-1), {type: 'discard'});
    assert.equal(pooled.settingsKey, NO_SETTINGS.key);
    // It has to be prepared again, under a name that was not used before.
    assert.notEqual(pooled.statementName(prepared(300_000)), long);
  });
});
