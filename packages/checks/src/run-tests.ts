/**
 * Runs every test file. Fails when a test fails that KNOWN-RED.txt doesn't
 * list, and prints those that it does.
 */
import {existsSync, readFileSync, readdirSync} from 'node:fs';
import path from 'node:path';
import {run} from 'node:test';
import {spec} from 'node:test/reporters';
import {type KnownRed, parseKnownRed} from './known-red.js';

const PACKAGES = 'packages';
/** The adapter stands beside the packages. */
const ADAPTER = 'platform';
const KNOWN_RED = 'KNOWN-RED.txt';
/** Test files at a time: fault tests start several sockets each. */
const CONCURRENCY = 4;
/** Longest time for one test file, in milliseconds. */
const FILE_TIMEOUT_MS = 120_000;

function testFiles(): string[] {
  const files: string[] = [];
  const roots = readdirSync(PACKAGES)
    .sort()
    .map(name => path.join(PACKAGES, name));
  for (const root of [...roots, ADAPTER]) {
    const folder = path.join(root, 'dist', 'test');
    if (!existsSync(folder)) continue;
    for (const file of readdirSync(folder).sort()) {
      const isTest = file.startsWith('test-') && file.endsWith('.js');
      const source = path.join(root, 'test', file.replace(/js$/, 'ts'));
      if (isTest && existsSync(source)) files.push(path.join(folder, file));
    }
  }
  return files;
}

function knownRed(): KnownRed[] {
  return existsSync(KNOWN_RED)
    ? parseKnownRed(readFileSync(KNOWN_RED, 'utf8'))
    : [];
}

const listed = knownRed();
const isListed = (name: string) => listed.some(item => item.test === name);
const wanted = process.argv.slice(2);
const files = testFiles().filter(
  file => wanted.length === 0 || wanted.some(part => file.includes(part)),
);
let passed = 0;
let failed = 0;
const passedOver: string[] = [];

const stream = run({files, concurrency: CONCURRENCY, timeout: FILE_TIMEOUT_MS});
stream.on('test:pass', event => {
  if (!isFile(event.name)) passed++;
});
stream.on('test:fail', event => {
  const {failureType} = event.details.error as {failureType?: string};
  if (failureType === 'subtestsFailed') return;
  if (isListed(event.name)) passedOver.push(event.name);
  else failed++;
});
const report = stream.compose(new spec());
report.pipe(process.stdout, {end: false});
report.on('end', () => {
  for (const name of passedOver) {
    const known = listed.find(item => item.test === name)!;
    process.stdout.write(`known red, passed over:\n${known.entry}\n`);
  }
  process.stdout.write(
    `\n${passed} passed, ${failed} failed, ${passedOver.length} skipped\n`,
  );
  // A test file that was given up may have left something that runs.
  process.stdout.write('', () =>
    process.exit(failed > 0 || passed === 0 ? 1 : 0),
  );
});

function isFile(name: string): boolean {
  return name.endsWith('.js');
}
