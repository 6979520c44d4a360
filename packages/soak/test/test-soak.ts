/** Short runs of the command with real processes, and the seeds that once
 * failed. */
import assert from 'node:assert/strict';
import {execFile} from 'node:child_process';
import {describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {KEPT_SEEDS, NO_COUNTS} from '../src/index.js';

const MAIN = fileURLToPath(
  new URL('main.js', import.meta.resolve('@quetzalreel/soak')),
);
/** A run that is small enough to stand beside other tests. */
const SHORT = ['--seed', '4', '--processes', '3', '--seconds', '3'] as const;
/** Longest time of one run, in milliseconds. */
const TIMEOUT_MS = 60_000;

/** Runs the command; what its last line says, and all that it printed. */
async function soak(args: readonly string[]): Promise<{
  readonly counts: Readonly<Record<string, number>>;
  readonly printed: string;
}> {
  const printed = await new Promise<string>((resolve, reject) => {
    execFile(
      process.execPath,
      [MAIN, ...args],
      {timeout: TIMEOUT_MS},
      (err, stdout) => {
        // A run that is not clean ends with 1, and says in its lines why.
        if (err && stdout === '') reject(err);
        else resolve(stdout);
      },
    );
  });
  const last = printed.trimEnd().split('\n').pop()!;
  return {counts: JSON.parse(last) as Record<string, number>, printed};
}

const CLEAN = {seeds: 1, failed: 0, ...NO_COUNTS};

describe('the soak', () => {
  it('is clean in a short run', async () => {
    const {counts, printed} = await soak(SHORT);
    assert.deepEqual(counts, CLEAN, printed);
  });

  it('is clean where replaced primaries go on', async () => {
    const {counts, printed} = await soak([...SHORT, '--unfenced']);
    assert.deepEqual(counts, CLEAN, printed);
  });

  for (const {seed, cause} of KEPT_SEEDS) {
    it(`is clean in seed ${seed}: ${cause}`, async () => {
      const {counts, printed} = await soak(['--seed', String(seed)]);
      assert.deepEqual(counts, CLEAN, printed);
    });
  }
});
