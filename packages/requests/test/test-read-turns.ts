/** How much is read of one connection before others have their turn. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {setImmediate} from 'node:timers/promises';
import {readTurns} from '../src/index.js';

const MUCH = 200 * 1024;

function source() {
  const state = {paused: false};
  return {
    state,
    pause: () => void (state.paused = true),
    resume: () => void (state.paused = false),
  };
}

describe('a connection that sends much', () => {
  it('waits for the next turn, and then goes on', async () => {
    const sender = source();
    const turns = readTurns(sender, () => true);
    turns.note(1000);
    assert.equal(sender.state.paused, false);
    turns.note(MUCH);
    assert.equal(sender.state.paused, true);
    await setImmediate();
    await setImmediate();
    assert.equal(sender.state.paused, false);
  });

  it('stays paused if it may not be read for another reason', async () => {
    const sender = source();
    readTurns(sender, () => false).note(MUCH);
    await setImmediate();
    await setImmediate();
    assert.equal(sender.state.paused, true);
  });
});
