/** Tests the reports on work that was turned away. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {loadReporter, noLoad} from '../src/load-counts.js';

describe('the reports on the load of an endpoint', () => {
  it('say nothing while all work is run', () => {
    const counts = noLoad();
    const reporter = loadReporter(counts);
    counts.ran = 10;
    assert.equal(reporter.report(0), undefined);
  });

  it('tell what was refused since the last one, at most every 5 s', () => {
    const counts = noLoad();
    const reporter = loadReporter(counts);
    counts.refusedByEndpoint = 3;
    assert.equal(reporter.report(0)?.refusedByEndpoint, 3);
    counts.refusedByEndpoint = 5;
    counts.opened = 2;
    assert.equal(reporter.report(4999), undefined);
    const later = reporter.report(5000);
    assert.equal(later?.refusedByEndpoint, 2);
    assert.equal(later?.opened, 2);
  });
});
