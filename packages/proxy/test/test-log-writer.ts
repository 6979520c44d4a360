/** Tests of the log writer, also with a reader that stalls. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {logWriter} from '../src/log-writer.js';

const turn = () => new Promise(resolve => setImmediate(resolve));

describe('logs', () => {
  it('of one turn of the event loop are written together, in order', async () => {
    const written: string[] = [];
    const writer = logWriter((bytes, done) => {
      written.push(bytes.toString());
      done(null, bytes.length);
    });
    writer.write('a\n');
    writer.write('b\n');
    await turn();
    assert.deepEqual(written, ['a\nb\n']);
  });

  it('neither block nor grow beyond the bound while the reader stalls', async () => {
    const written: string[] = [];
    let release = () => {};
    const writer = logWriter((bytes, done) => {
      written.push(bytes.toString());
      release = () => done(null, bytes.length);
    });
    const line = `${'x'.repeat(999)}\n`;
    const count = 5000;
    for (let i = 0; i < count; i++) {
      writer.write(line);
      if (i === 0) await turn();
    }
    assert.ok(writer.queuedBytes <= 512 * 1024);
    assert.ok(writer.dropped > count / 2);
    const {dropped} = writer;
    release();
    await turn();
    release();
    await turn();
    const all = written.join('');
    const kept = all.split('\n').filter(text => text.startsWith('x')).length;
    assert.equal(kept + dropped, count);
    assert.match(all, new RegExp(`"logDropped","lines":${dropped}`));
  });

  it('continue after a partial write and after a failed one', async () => {
    const written: string[] = [];
    let calls = 0;
    const writer = logWriter((bytes, done) => {
      calls++;
      if (calls === 1) {
        done(new Error('no reader'), 0);
        return;
      }
      const part = Math.min(2, bytes.length);
      written.push(bytes.subarray(0, part).toString());
      done(null, part);
    });
    writer.write('lost\n');
    await turn();
    writer.write('abcd\n');
    await turn();
    assert.equal(written.join(''), 'abcd\n');
    assert.equal(writer.dropped, 1);
  });
});
