/** What a session is refused that sets or prepares too much. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  Access,
  CallerLimit,
  ErrorCode,
  KeptKind,
  SessionState,
} from '@quetzalreel/requests';
import {newSessionData} from '../src/session-context.js';
import {limitedSessionData} from '../src/session-limits.js';

const LIMITS = {
  values: 2,
  valueBytes: 1000,
  prepared: 2,
  preparedBytes: 1000,
};
const {Idle, Open, Failed} = SessionState;

function session() {
  const kept = new Map<KeptKind, number>();
  const refused: CallerLimit[] = [];
  const data = newSessionData();
  const limited = limitedSessionData({
    data,
    limits: LIMITS,
    connection: {keep: (kind, bytes) => void kept.set(kind, bytes)},
    onLimit: limit => refused.push(limit),
  });
  return {data, kept, refused, limited};
}

describe('a session with limits', () => {
  it('refuses values beyond their number and bytes, and keeps the earlier ones', () => {
    const {data, kept, refused, limited} = session();
    assert.equal(limited.set('a', 'x', Idle).error, undefined);
    const bytes = kept.get(KeptKind.Values)!;
    const long = limited.set('a', 'x'.repeat(1000), Open);
    assert.equal(long.error?.code, ErrorCode.TooLarge);
    assert.match(long.error?.text ?? '', /limit of session values/);
    // As after any failed statement of a transaction.
    assert.equal(long.state, Failed);
    assert.equal(limited.set('b', 'x', Idle).error, undefined);
    assert.equal(limited.set('c', 'x', Idle).error?.code, ErrorCode.TooLarge);
    assert.equal(data.settings.values.get('a'), 'x');
    assert.equal(kept.get(KeptKind.Values), 2 * bytes);
    assert.deepEqual(refused, [CallerLimit.Values, CallerLimit.Values]);
  });

  it('counts a name that is prepared again once, and none that is closed', () => {
    const {data, kept, refused, limited} = session();
    const prepare = (name: string, length: number) =>
      limited.prepare(name, Access.Read, 's'.repeat(length), Idle).error?.code;
    for (let i = 0; i < 5; i++) assert.equal(prepare('a', 500), undefined);
    assert.equal(prepare('b', 500), ErrorCode.TooLarge);
    assert.equal(prepare('b', 10), undefined);
    assert.equal(prepare('c', 1), ErrorCode.TooLarge);
    limited.close('a', Idle);
    limited.close('b', Idle);
    limited.close('unknown', Idle);
    assert.equal(kept.get(KeptKind.Prepared), 0);
    assert.equal(data.prepared.size, 0);
    assert.deepEqual(refused, [CallerLimit.Prepared, CallerLimit.Prepared]);
  });
});
