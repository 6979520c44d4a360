/** Times and limits of the proxy, with their reasons. */

/** Times in milliseconds. */
export const TIMES = {
  /** Interval of the periodic checks; a tenth of the shortest objective. */
  tickMs: 50,
  /** Timers that are later than this are logged. */
  lateTickMs: 500,
  /** Timeout for a new connection: a fully loaded endpoint takes some 30 ms. */
  connectTimeoutMs: 400,
  /** Delay before the next attempt after a failed connection attempt. */
  connectRetryMs: 60,
  /**
   * Delay before the next attempt at an endpoint that is at its connection
   * limit.
   */
  connectionLimitRetryMs: 150,
  /** An idle connection beyond the minimum is closed after this time. */
  idleConnectionMs: 1200,
  /** Assumed statement time for an endpoint that has not run any yet. */
  initialAnswerMs: 15,
  /** A holder probes an endpoint after this time without contact. */
  probeIntervalMs: 300,
  /** Age of the newest sample of the primary at which a new one is taken. */
  sampleMaxAgeMs: 400,
  /** Timeout for the answer to a probe, which takes no slot. */
  probeTimeoutMs: 220,
  /**
   * With statements in flight, an endpoint is probed after this time without
   * contact.
   */
  inFlightProbeMs: 120,
  /**
   * Added to the expected statement time of an endpoint in another data centre
   * when statements are placed: the way there, and as much as the averages of
   * equally loaded endpoints differ by chance.
   */
  otherDataCentreMs: 10,
  /**
   * Maximum time for one attempt of a read, as a share of the statement
   * timeout.
   */
  readAttemptFraction: 0.4,
  /**
   * Duration of one watch of the configuration. Only its end shows that its
   * connection is silent: with the wait for the answer, a list and the way to all
   * instances it stays within the time for a configuration to come into force.
   */
  watchConfigurationMs: 1200,
  /**
   * Duration of one watch of the endpoints' entries: the same within the time
   * until an endpoint that leaves must get no more work.
   */
  watchEndpointsMs: 4500,
  /**
   * Silence after which an endpoint that answers again starts with a low limit:
   * longer than a slow answer plus a lost packet, and a change of primary.
   */
  returnSilenceMs: 1000,
  /** Interval between the beats of an instance that reads the store. */
  readerBeatMs: 1000,
  /**
   * How long an instance that starts waits for the list of instances before it
   * reads the configuration from the store.
   */
  firstReadMs: 150,
  /** How long it then waits for what its peers know. */
  firstCopyMs: 40,
  /**
   * The same when the whole fleet starts for the first time: all are listed by
   * then, and there are no callers yet.
   */
  firstStartReadMs: 3500,
  /** How long a change that a beat shows may be on its way. */
  lateFactMs: 150,
  /**
   * After a stop request the balancer still sends callers here for this long.
   */
  balancerDelayMs: 2500,
  /**
   * Time before the end of the grace period at which remaining work is cut off:
   * a slow machine needs part of it to close everything and exit.
   */
  stopMarginMs: 500,
  /** Before that time no new sessions are taken, for as long as requests take. */
  lastSessionMs: 1000,
  /** Before that time all requests are answered, with or without success. */
  lastAnswerMs: 100,
  /** Interval at which the lease for changes of primary is read. */
  leasePollMs: 10_000,
  /** Head start of the lease holder when the primary is to be changed. */
  leaseHolderHeadStartMs: 150,
  /**
   * Head start of the instances that hold connections to the group's endpoints:
   * longer than a change takes, so that the rest of a large fleet asks nobody.
   */
  holderHeadStartMs: 3000,
  /**
   * Delay before a change of primary that was not begun is considered again;
   * grows to the maximum.
   */
  changeRetryMs: 50,
  changeRetryMaxMs: 400,
  /**
   * Instances start a change of primary at different moments within this time.
   */
  changeJitterMs: 150,
  /**
   * Timeout for the status of an endpoint, which needs a slot; a busy endpoint is
   * asked again meanwhile.
   */
  statusTimeoutMs: 300,
  /** Interval at which a connection for a control request is tried again. */
  controlConnectRetryMs: 50,
  /**
   * An endpoint counts as reachable for a peer when the last contact was at
   * most this long before the peer's request.
   */
  directContactMaxAgeMs: 60,
  /**
   * The same for an endpoint observed through a holder. Together with the wait
   * for a newer observation it is longer than a holder's probe interval.
   */
  relayedContactMaxAgeMs: 100,
  /**
   * A primary that leaves gets no new work so long before the platform's limit:
   * what is known of it may be this old, and work takes time to arrive.
   */
  leavingMarginMs: 2000,
  /** Timeout for the answer to a rollback, which takes no slot. */
  rollBackTimeoutMs: 500,
  /** Polling interval while an endpoint is checked on behalf of a peer. */
  peerCheckPollMs: 20,
  /**
   * Time limit for checking an endpoint on behalf of a peer: longer than
   * opening a connection takes on a busy endpoint.
   */
  peerCheckTimeoutMs: 250,
  /**
   * How long a detour through another instance is used before the endpoint is
   * tried directly again.
   */
  detourMs: 2000,
  /**
   * Peers are asked for a path to an endpoint whose oldest unanswered request
   * is this old.
   */
  askPeersAfterMs: 60,
  /**
   * Interval between two requests to peers for a path to one endpoint; grows to
   * the maximum while none is found, which is within the time that the answers
   * stay valid.
   */
  askPeersIntervalMs: 400,
  askPeersMaxIntervalMs: 1400,
  /** The maximum for an instance that goes through holders. */
  nonHolderAskMaxIntervalMs: 5600,
  /** How long the peers' answers about an unresponsive endpoint stay valid. */
  reachabilityMaxAgeMs: 1500,
  /**
   * Interval between two requests to peers for a confirmed position: a fraction
   * of the shortest objective, so that a read that waits for the answer is
   * still in time.
   */
  requestConfirmedIntervalMs: 40,
  /**
   * Peers that don't answer for this long keep no primary from being replaced:
   * longer than instances take to start again, and short of the time in which a
   * fleet must have recovered.
   */
  lostPeersMs: 5000,
  /** Timeout for the answers of peers. */
  peerQueryTimeoutMs: 400,
  /**
   * Sample age at which an instance without connections of its own asks a
   * holder: half of the shortest staleness that routes allow.
   */
  askHolderSampleAgeMs: 700,
  /** Delay before it asks again: longer than an answer takes. */
  askHolderRetryMs: 150,
  /**
   * An instance that is not a holder probes an endpoint after this time without
   * contact.
   */
  nonHolderProbeMs: 3000,
  /**
   * The same while no primary is known: half of the holders' probe interval.
   */
  nonHolderNoPrimaryProbeMs: 150,
  /**
   * How long a requester's statement waits for a connection here: half of one
   * attempt of a read, so that it is still answered in time after the wait.
   */
  relayedAcquireMs: 150,
  /**
   * Timeout for the answer to a requester's statement: the longest statement
   * timeout that routes allow.
   */
  relayedAnswerMs: 2500,
  /**
   * How long an answer is awaited after its requester has disconnected, before
   * the connection is closed: a new connection costs the endpoint time as well.
   */
  abandonedAnswerTimeoutMs: 200,
  /**
   * Added to the configured idle time for a requester's transaction: the
   * requester ends it by the configured time itself unless it has failed.
   */
  relayedIdleTransactionSlackMs: 1000,
  /**
   * Timeout for a connection to a relay: a round trip between data centres and
   * a busy instance.
   */
  relayConnectTimeoutMs: 200,
  /**
   * A relay drops a requester that sends nothing for this long: ten probe
   * intervals of a requester without statements.
   */
  requesterIdleTimeoutMs: 30_000,
  /** Delay before a failed relay is tried again. */
  relayRetryMs: 1000,
  /** Interval at which the list of instances is read. */
  instanceListPollMs: 15_000,
  /**
   * Interval at which an instance renews its entry in the list: two readings.
   */
  instanceEntryRenewMs: 29_000,
  /**
   * After a restore of the store all instances write their entries again, each
   * at its own moment within this time.
   */
  renewSpreadMs: 2000,
  /**
   * An entry that was not renewed for this long expires: three renewals and one
   * reading.
   */
  instanceEntryExpiryMs: 105_000,
  /**
   * How long an instance that starts waits for a list that is known before it plans
   * connections by what it has: longer than a few calls to a slow store.
   */
  firstInstanceListMs: 1000,
  /**
   * Delay between the start and the second reading of the list of instances,
   * and between readings until the list is settled: longer than it takes until all
   * that start together have written their entries.
   */
  firstInstanceListPollMs: 2500,
  /**
   * Interval at which peers are asked for the configuration while the store is
   * unreachable.
   */
  askConfigurationIntervalMs: 500,
  /**
   * A restored store may lack the newest configuration for this long; an
   * instance that starts can't know when the store was restored.
   */
  configurationRewriteMs: 5000,
  /** Interval at which the witnesses are asked to confirm change records. */
  askWitnessesMs: 400,
  /** Without their answers for this long, the store is asked as well. */
  askStoreAfterMs: 700,
  /** Interval at which the store is asked then. */
  askStoreMs: 250,
  /** Timeout for the confirmations of an announced change. */
  announceTimeoutMs: 350,
  /**
   * How long an open transaction may go on after the key of its session was
   * removed: a fraction of the time in which the removal must be in force.
   */
  revokedTransactionMs: 1000,
  /** How long open transactions may go on at a primary that is replaced. */
  finishTransactionsMs: 250,
  /** Timeout for the answer to a request to step down. */
  stepDownTimeoutMs: 300,
  /** How long the successor may take to receive the last commits. */
  receiveLastCommitMs: 400,
  /** Interval at which its position is asked for meanwhile. */
  receivePollMs: 15,
  /** How long to wait for an ordered change of primary to be observed. */
  primaryChangeTimeoutMs: 3000,
  /**
   * Share of the grace period that open transactions have to finish: half of it,
   * and what a statement that was sent by then takes to arrive and run.
   */
  transactionGraceFraction: 0.55,
} as const;

/** Counts. */
export const LIMITS = {
  /** Connections to one endpoint that may be opening at the same time. */
  maxConcurrentOpens: 2,
  /** Minimum number of connections kept open to each endpoint. */
  minConnections: 1,
  /**
   * Maximum number of connections to one endpoint through relays; they cost the
   * endpoint nothing until a statement uses them.
   */
  maxRelayedConnections: 8,
  /** Connections to one endpoint beyond the plan, for requests that control it. */
  controlConnections: 1,
  /** Maximum number of attempts for one statement. */
  maxAttempts: 5,
  /**
   * Requests examined in one lane of the wait queue before the rest wait for a
   * change.
   */
  laneLookAhead: 8,
  /** A fleet of up to this many instances has fewer readers of the store. */
  smallFleet: 16,
  /**
   * Number of instances that confirm change records, in a fleet of any size.
   */
  witnesses: 9,
  /** Maximum number of peers that are asked whether they reach an endpoint. */
  maxQueriedPeers: 9,
} as const;

/**
 * Memory for long answers, in bytes; together with what a statement takes less
 * than the heap of a process, which is 160 MB.
 */
export const ANSWER_LIMITS = {
  sharedBytes: 24 * 1024 * 1024,
  heldBytes: 64 * 1024 * 1024,
  shortBytes: 64 * 1024,
  answerBytes: 40 * 1024 * 1024,
} as const;

/**
 * How long each symptom must last before the primary counts as down, in
 * milliseconds.
 */
export const FAILOVER_THRESHOLDS = {
  /**
   * Connections refused: the process has exited, or the network rejects
   * connections to it.
   */
  refusingMs: 100,
  /** No answer: longer than a slow answer plus a lost packet. */
  unresponsiveMs: 500,
  /** No endpoint accepts writes: longer than a change of primary takes. */
  missingMs: 2500,
} as const;

/** Instances that read the store for the others, and times in milliseconds. */
export const READER_LIMITS = {
  readers: 3,
  smallFleetReaders: 2,
  /** One of so many is served even if the store turns a third away. */
  mostReaders: 8,
  /**
   * Together with the delay after it, less than the time in which a
   * configuration must be in force.
   */
  heardMs: 2200,
  spreadMs: 500,
} as const;

/**
 * How long permission to use primaries lasts, in milliseconds, on platforms
 * where a replaced primary does not stop by itself. Both times fit, one after
 * the other, in the time in which a change may be ordered.
 */
export const PERMISSION_LIMITS = {witnessMs: 1000, storeMs: 600} as const;

/** Times for carrying out a change of primary, in milliseconds. */
export const CHANGE_LIMITS = {
  /** The platform's minimum time between the calls of two lease holders. */
  handoverDelayMs: 3100,
  /**
   * How long a lease holder sends orders under one write of the lease: longer
   * than one order and its answer take on a slow platform.
   */
  orderWindowMs: 1500,
  retryMs: 100,
} as const;

/**
 * What one session may set and prepare. Sessions in use set a few values of some
 * hundred bytes and prepare some dozen statements.
 */
export const SESSION_LIMITS = {
  values: 1000,
  valueBytes: 2 * 1024 * 1024,
  prepared: 2000,
  preparedBytes: 4 * 1024 * 1024,
} as const;
