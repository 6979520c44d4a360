/**
 * Runs all test files, or those whose path contains one of the arguments.
 * Exits with 1 if a test fails that KNOWN-RED.txt doesn't list, or if none
 * passes. Prints the KNOWN-RED.txt entry of each listed test that fails.
 */
import {once} from 'node:events';
import {existsSync, readFileSync, readdirSync} from 'node:fs';
import path from 'node:path';
import {run} from 'node:test';
import {spec} from 'node:test/reporters';
import {type KnownFailure, parseKnownFailures} from './known-red.js';

const PACKAGES_FOLDER = 'packages';
/** Folder of the platform adapter, which is outside `packages`. */
const PLATFORM_FOLDER = 'platform';
const KNOWN_FAILURES_FILE = 'KNOWN-RED.txt';
/** Test files run in parallel. Limited: fault tests open several sockets. */
const MAX_CONCURRENT_FILES = 4;
/** Start of the names of files that run alone, after all others. */
const CROWD_PREFIX = 'test-crowd-';
/** Timeout of one test file, in milliseconds. */
const FILE_TIMEOUT_MS = 120_000;

function testFiles(): string[] {
  const files: string[] = [];
  const roots = readdirSync(PACKAGES_FOLDER)
    .sort()
    .map(name => path.join(PACKAGES_FOLDER, name));
  for (const root of [...roots, PLATFORM_FOLDER]) {
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

function readKnownFailures(): KnownFailure[] {
  return existsSync(KNOWN_FAILURES_FILE)
    ? parseKnownFailures(readFileSync(KNOWN_FAILURES_FILE, 'utf8'))
    : [];
}

const knownFailures = readKnownFailures();
const isKnownFailure = (name: string) =>
  knownFailures.some(item => item.test === name);
const pathFilters = process.argv.slice(2);
const files = testFiles().filter(
  file =>
    pathFilters.length === 0 || pathFilters.some(part => file.includes(part)),
);
let passed = 0;
let failed = 0;
const skipped: string[] = [];

function noteFailure(name: string, type: string | undefined): void {
  if (type === 'subtestsFailed') return;
  if (isKnownFailure(name)) skipped.push(name);
  else failed++;
}

/** Runs test files, `concurrency` of them at the same time. */
async function runFiles(chosen: string[], concurrency: number): Promise<void> {
  if (chosen.length === 0) return;
  const stream = run({files: chosen, concurrency, timeout: FILE_TIMEOUT_MS});
  stream.on('test:pass', event => {
    if (!isTestFile(event.name)) passed++;
  });
  stream.on('test:fail', event => {
    const {failureType} = event.details.error as {failureType?: string};
    noteFailure(event.name, failureType);
  });
  const report = stream.compose(new spec());
  report.pipe(process.stdout, {end: false});
  await once(report, 'end');
}

/** The runner also reports each file as a test, under its path. */
function isTestFile(name: string): boolean {
  return name.endsWith('.js');
}

/** Whether a file's tests measure processes, and need the machine to themselves. */
function isCrowdFile(file: string): boolean {
  return path.basename(file).startsWith(CROWD_PREFIX);
}

await runFiles(
  files.filter(file => !isCrowdFile(file)),
  MAX_CONCURRENT_FILES,
);
await runFiles(files.filter(isCrowdFile), 1);
for (const name of skipped) {
  const known = knownFailures.find(item => item.test === name)!;
  process.stdout.write(`known red, passed over:\n${known.entry}\n`);
}
process.stdout.write(
  `\n${passed} passed, ${failed} failed, ${skipped.length} skipped\n`,
);
// A test file that timed out may leave open handles, so exit explicitly.
process.stdout.write('', () =>
  process.exit(failed > 0 || passed === 0 ? 1 : 0),
);
