/** Counters and histograms for operators, with a bounded number of series. */
import {
  type Answer,
  type CallerLimit,
  type CallerMemory,
  KeptKind,
} from '@quetzalreel/requests';
import type {KeptObjects} from '@quetzalreel/facts';
import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import type {GroupRuntime} from './group-types.js';
import {inFlightLimit} from './link-placement.js';
import {LOAD_COUNTS} from './load-counts.js';
import type {ReadRule} from './routes.js';

/** Metrics that sessions report. */
export interface Metrics {
  /** Counts an answer, given `tookMs` after its request. */
  observeAnswer(rule: ReadRule, answer: Answer, tookMs: number): void;
  /** Records that a statement waited `waitedMs` for a connection. */
  observeWait(rule: ReadRule, waitedMs: number): void;
  /** Records by how much the periodic work was late. */
  observeTickDelay(delayMs: number): void;
  /** Counts that a limit has refused a caller something. */
  countLimit(limit: CallerLimit): void;
  /** Counts that a lost primary could not be replaced for want of replicas' logs. */
  countSuccessorWait(group: string): void;
  /** The metrics in the text format of `contentType`. */
  text(): Promise<string>;
  readonly contentType: string;
}

/** The state that the gauges report. */
export interface MetricsSource {
  groups(): Iterable<GroupRuntime>;
  generation(): number;
  /** Number of times the store was restored. */
  storeEra(): number;
  /** What copies keep of the objects in the store. */
  keptObjects?(): readonly KeptObjects[];
  sessions(): number;
  heldAnswerBytes(): number;
  readonly callerMemory?: CallerMemory;
  /** Connections of callers that are open. */
  callerConnections?(): number;
  now(): number;
}

/**
 * Bucket bounds of the histograms, in seconds; around the objectives of routes.
 */
const BUCKETS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1, 2.5, 8];
const MS_PER_SECOND = 1000;

/** Creates the metrics of one proxy. */
export function proxyMetrics(source: MetricsSource): Metrics {
  const registry = new Registry();
  const registers = [registry];
  const answers = new Counter({
    name: 'quetzalreel_answers_total',
    help: 'Answers to callers by rule of the route and outcome.',
    labelNames: ['rule', 'outcome'] as const,
    registers,
  });
  const times = new Histogram({
    name: 'quetzalreel_answer_seconds',
    help: 'Time from a request to its answer.',
    labelNames: ['rule'] as const,
    buckets: BUCKETS,
    registers,
  });
  const waits = new Histogram({
    name: 'quetzalreel_wait_seconds',
    help: 'Time that a statement waited for a place at an endpoint.',
    labelNames: ['rule'] as const,
    buckets: BUCKETS,
    registers,
  });
  const tickDelays = new Histogram({
    name: 'quetzalreel_timer_delay_seconds',
    help: 'By how much the timers of the periodic work were late.',
    buckets: BUCKETS,
    registers,
  });
  const limited = new Counter({
    name: 'quetzalreel_callers_limited_total',
    help: 'What was refused to callers or closed, by limit.',
    labelNames: ['limit'] as const,
    registers,
  });
  const successorWaits = new Counter({
    name: 'quetzalreel_successor_waits_total',
    help: 'Times that a lost primary could not be replaced, since too few replicas told how far their logs reach.',
    labelNames: ['group'] as const,
    registers,
  });
  const gauges = {
    generation: new Gauge({
      name: 'quetzalreel_configuration_generation',
      help: 'Generation of the configuration in force; 0 for none.',
      registers,
    }),
    storeEra: new Gauge({
      name: 'quetzalreel_store_era',
      help: 'Number of times the store was restored from an older copy, as far as it tells.',
      registers,
    }),
    storeObjects: new Gauge({
      name: 'quetzalreel_store_objects',
      help: 'Objects of the store by kind: readable and unreadable ones that are kept, and unreadable ones passed over by the last change.',
      labelNames: ['kind', 'state'] as const,
      registers,
    }),
    sessions: new Gauge({
      name: 'quetzalreel_sessions',
      help: 'Sessions that are open.',
      registers,
    }),
    heldAnswers: new Gauge({
      name: 'quetzalreel_held_answer_bytes',
      help: 'Long answers that callers have not received yet; more of them wait above a limit.',
      registers,
    }),
    callerBytes: new Gauge({
      name: 'quetzalreel_caller_kept_bytes',
      help: 'What callers make this instance keep, by kind.',
      labelNames: ['kind'] as const,
      registers,
    }),
    callerBudget: new Gauge({
      name: 'quetzalreel_caller_budget_bytes',
      help: 'Limit of what callers make this instance keep.',
      registers,
    }),
    callerConnections: new Gauge({
      name: 'quetzalreel_caller_connections',
      help: 'Connections of callers that are open.',
      registers,
    }),
    silent: new Gauge({
      name: 'quetzalreel_endpoint_silent_seconds',
      help: 'Time since an endpoint was last heard of; the age of what is believed of it.',
      labelNames: ['group', 'endpoint'] as const,
      registers,
    }),
    running: new Gauge({
      name: 'quetzalreel_endpoint_running',
      help: 'Statements under way at an endpoint from here.',
      labelNames: ['group', 'endpoint'] as const,
      registers,
    }),
    limit: new Gauge({
      name: 'quetzalreel_endpoint_limit',
      help: 'Statements that may be under way at an endpoint from here.',
      labelNames: ['group', 'endpoint'] as const,
      registers,
    }),
    connections: new Gauge({
      name: 'quetzalreel_endpoint_connections',
      help: 'Connections to an endpoint from here.',
      labelNames: ['group', 'endpoint'] as const,
      registers,
    }),
    primary: new Gauge({
      name: 'quetzalreel_group_primary',
      help: '1 for the endpoint that is believed to be the primary.',
      labelNames: ['group', 'endpoint'] as const,
      registers,
    }),
  };

  const limitReason = new Gauge({
    name: 'quetzalreel_endpoint_limit_reason',
    help: '1 for the reason for which the limit of an endpoint last changed.',
    labelNames: ['group', 'endpoint', 'reason'] as const,
    registers,
  });
  const work = new Gauge({
    name: 'quetzalreel_endpoint_work',
    help: 'What has happened to the work for an endpoint since the start, by outcome.',
    labelNames: ['group', 'endpoint', 'outcome'] as const,
    registers,
  });

  function readCallers(): void {
    const {callerMemory} = source;
    gauges.callerConnections.set(source.callerConnections?.() ?? 0);
    if (!callerMemory) return;
    gauges.callerBudget.set(callerMemory.limits.totalBytes);
    for (const kind of Object.values(KeptKind))
      gauges.callerBytes.set({kind}, callerMemory.keptOf(kind));
  }

  function readStoreObjects(): void {
    for (const {kind, ...counts} of source.keptObjects?.() ?? []) {
      for (const [state, count] of Object.entries(counts))
        gauges.storeObjects.set({kind, state}, count);
    }
  }

  function readGroup(group: GroupRuntime): void {
    for (const [endpoint, link] of group.links) {
      const labels = {group: group.name, endpoint};
      const silentMs = source.now() - link.facts.lastContactAt;
      gauges.silent.set(labels, silentMs / MS_PER_SECOND);
      gauges.running.set(labels, link.facts.inFlight);
      gauges.limit.set(labels, inFlightLimit(link));
      limitReason.set({...labels, reason: link.facts.pace.reason}, 1);
      gauges.connections.set(labels, link.connections);
      gauges.primary.set(labels, group.primary === link ? 1 : 0);
      for (const outcome of LOAD_COUNTS)
        work.set({...labels, outcome}, link.load[outcome]);
    }
  }

  return {
    contentType: registry.contentType,
    observeAnswer(rule, {error}, tookMs) {
      answers.inc({rule, outcome: error?.code ?? 'ok'});
      times.observe({rule}, tookMs / MS_PER_SECOND);
    },
    observeWait(rule, waitedMs) {
      waits.observe({rule}, waitedMs / MS_PER_SECOND);
    },
    countLimit: limit => limited.inc({limit}),
    countSuccessorWait: group => successorWaits.inc({group}),
    observeTickDelay(delayMs) {
      tickDelays.observe(delayMs / MS_PER_SECOND);
    },
    text() {
      // Drops the series of endpoints that are no longer listed.
      for (const gauge of Object.values(gauges)) gauge.reset();
      work.reset();
      limitReason.reset();
      gauges.generation.set(source.generation());
      gauges.storeEra.set(source.storeEra());
      gauges.sessions.set(source.sessions());
      gauges.heldAnswers.set(source.heldAnswerBytes());
      readCallers();
      readStoreObjects();
      for (const group of source.groups()) readGroup(group);
      return registry.metrics();
    },
  };
}
