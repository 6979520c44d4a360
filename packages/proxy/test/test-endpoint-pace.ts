/** Tests the limit of statements in flight at one endpoint. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {
  type EndpointPace,
  PaceReason,
  StatementKind,
  afterBusy,
  afterFailed,
  afterLost,
  afterPromotion,
  afterReport,
  afterReturn,
  afterRun,
  afterStart,
  afterTimeout,
  initialPace,
  limitOf,
  reportOf,
} from '../src/endpoint-pace.js';

const SLOTS = 4;
const FULL = 8;
const CALM_MS = 10;
const INTERVAL_MS = 20;
const CALM_UNTIL = 2000;

interface Phase {
  readonly fromMs: number;
  readonly untilMs: number;
  readonly tookMs: (at: number) => number;
  readonly kind?: StatementKind;
}

/** The state after statements at regular intervals. */
function played(pace: EndpointPace, phase: Phase): EndpointPace {
  const {fromMs, untilMs, tookMs, kind = StatementKind.Read} = phase;
  let next = pace;
  for (let now = fromMs; now < untilMs; now += INTERVAL_MS) {
    const statement = {kind, tookMs: tookMs(now), othersFailing: 0, now};
    next = afterRun(next, SLOTS, statement);
  }
  return next;
}

function calm(kind: StatementKind = StatementKind.Read): EndpointPace {
  const times = {fromMs: 0, untilMs: CALM_UNTIL, kind};
  return played(initialPace(SLOTS), {...times, tookMs: () => CALM_MS});
}

function limit(pace: EndpointPace): number {
  return limitOf(pace, Infinity);
}

describe('the limit of an endpoint that is well', () => {
  it('is the full one, without a start that is known', () => {
    assert.equal(limit(initialPace(SLOTS)), FULL);
    assert.equal(limitOf(initialPace(SLOTS), 2), 2);
  });

  for (const seed of [1, 2, 3]) {
    it(`does not fall because the work of statements varies (seed ${seed})`, () => {
      const random = xoroshiro128plus(seed);
      const chance = () => uniformFloat64(random);
      const workMs = () => {
        const u = Math.max(chance(), Number.MIN_VALUE);
        const normal =
          Math.sqrt(-2 * Math.log(u)) * Math.cos(2 * Math.PI * chance());
        return Math.exp(0.7 * normal) * (chance() < 0.01 ? 50 : CALM_MS);
      };
      let pace = initialPace(SLOTS);
      for (let from = 0; from < 200_000; from += INTERVAL_MS) {
        const untilMs = from + INTERVAL_MS;
        pace = played(pace, {fromMs: from, untilMs, tookMs: workMs});
        assert.equal(limit(pace), FULL, `at ${from} ms`);
      }
    });
  }

  it('does not fall while the endpoint is busy inside its capacity', () => {
    const times = {fromMs: CALM_UNTIL, untilMs: 20_000};
    const pace = played(calm(), {...times, tookMs: () => 3 * CALM_MS});
    assert.equal(limit(pace), FULL);
  });

  it('returns although statements have become longer for good', () => {
    const times = {fromMs: CALM_UNTIL, untilMs: 120_000};
    const pace = played(calm(), {...times, tookMs: () => 5 * CALM_MS});
    assert.equal(limit(pace), FULL);
  });

  it('falls with refusals to two statements at least', () => {
    let pace = calm();
    for (let i = 0; i < 20; i++) pace = afterBusy(pace, CALM_UNTIL + i);
    assert.equal(limit(pace), 2);
  });
});

describe('the limit of an endpoint that comes back', () => {
  const now = CALM_UNTIL;
  const cases = {
    [PaceReason.Started]: afterStart(SLOTS, calm(), now),
    [PaceReason.Returned]: afterReturn(calm(), now),
    [PaceReason.Promoted]: afterPromotion(calm(), now),
  };
  for (const [reason, pace] of Object.entries(cases)) {
    it(`is low and rises step by step while it is cold (${reason})`, () => {
      assert.equal(pace.reason, reason);
      assert.ok(limit(pace) <= SLOTS && limit(pace) >= 1);
      let last = limit(pace);
      let next = pace;
      for (let from = now; from < now + 4000; from += INTERVAL_MS) {
        const untilMs = from + INTERVAL_MS;
        const tookMs = () => 1.6 * CALM_MS;
        next = played(next, {fromMs: from, untilMs, tookMs});
        assert.ok(limit(next) <= Math.ceil(1.5 * last) + 1);
        assert.ok(limit(next) >= last);
        last = limit(next);
      }
      assert.equal(last, FULL);
      assert.equal(next.reason, PaceReason.Well);
    });
  }

  it('compares a start with the calm times before it', () => {
    const started = afterStart(SLOTS, calm(), CALM_UNTIL);
    const times = {fromMs: CALM_UNTIL, untilMs: 6000};
    const pace = played(started, {...times, tookMs: () => 8 * CALM_MS});
    assert.equal(limit(pace), 1);
  });

  it('falls further when the endpoint refuses statements', () => {
    const half = afterPromotion(calm(), now);
    assert.ok(limit(afterBusy(half, now + 1000)) < limit(half));
  });
});

describe('the limit of an endpoint that is disturbed', () => {
  for (const kind of Object.values(StatementKind)) {
    it(`falls soon when it is slowed 8 times, and rises again (${kind})`, () => {
      const untilMs = CALM_UNTIL + 1000;
      const slow = played(calm(kind), {
        fromMs: CALM_UNTIL,
        untilMs,
        tookMs: () => 8 * CALM_MS,
        kind,
      });
      assert.equal(slow.reason, PaceReason.Slow);
      assert.ok(limit(slow) <= 2 && limit(slow) >= 1);
      const times = {fromMs: untilMs, untilMs: untilMs + 5000, kind};
      const after = played(slow, {...times, tookMs: () => CALM_MS});
      assert.equal(limit(after), FULL);
    });
  }

  it('falls with statements that get no answer in their time', () => {
    let pace = calm();
    for (let i = 1; i <= 4; i++) {
      const ended = {kind: StatementKind.Read, tookMs: 400, othersFailing: 0};
      pace = afterTimeout(pace, {...ended, now: CALM_UNTIL + i * 300});
    }
    assert.ok(limit(pace) < FULL);
    const short = {kind: StatementKind.Read, tookMs: 5, othersFailing: 0};
    assert.equal(
      limit(afterTimeout(calm(), {...short, now: CALM_UNTIL})),
      FULL,
    );
  });

  it('falls with lost connections to one statement at least', () => {
    let pace = calm();
    for (let i = 0; i < 20; i++) pace = afterLost(pace, CALM_UNTIL + i * 300);
    assert.equal(limit(pace), 1);
  });

  function withFailures(othersFailing: number, kind: StatementKind) {
    let pace = calm();
    for (let i = 0; i < 40; i++) {
      const now = CALM_UNTIL + i * INTERVAL_MS;
      const ended = {kind, tookMs: 1, othersFailing, now};
      pace =
        i % 2 === 0 ? afterFailed(pace, ended) : afterRun(pace, SLOTS, ended);
    }
    return pace;
  }

  it('falls when reads fail that others run', () => {
    assert.equal(withFailures(0, StatementKind.Read).reason, 'failing');
  });

  it('does not fall when reads fail at all endpoints, or for writes', () => {
    assert.equal(limit(withFailures(0.5, StatementKind.Read)), FULL);
    assert.equal(limit(withFailures(0, StatementKind.PrimaryOnly)), FULL);
  });
});

describe('a report on an endpoint', () => {
  const now = CALM_UNTIL + 1000;

  it('is not sent while the endpoint is well', () => {
    assert.equal(reportOf(calm(), now), undefined);
  });

  it('lowers the limit of who receives it', () => {
    const report = reportOf(afterReturn(calm(), now), now)!;
    assert.equal(limit(afterReport(calm(), report, now)), 1);
  });

  it('has no effect when it is old, or older than what is known', () => {
    const report = {share: 0.2, failing: 0, ageMs: 5000};
    assert.equal(limit(afterReport(calm(), report, now)), FULL);
    const known = {...calm(), changedAt: now - 100};
    const older = {share: 0.2, failing: 0, ageMs: 200};
    assert.equal(limit(afterReport(known, older, now)), FULL);
  });
});
