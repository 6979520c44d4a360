/** Times and limits of the proxy, with where each comes from. */

/** Times in milliseconds. */
export const TIMES = {
  /** Between two looks at what is known; a tenth of the shortest objective. */
  tickMs: 50,
  /** Longest wait for a new connection: a full endpoint takes some 30 ms. */
  connectTimeoutMs: 400,
  /** Before the next try after a connection that failed. */
  connectRetryMs: 60,
  /** Before the next try at an endpoint that takes no more connections. */
  connectionLimitRetryMs: 150,
  /** After which an unused connection beyond the least is closed. */
  idleConnectionMs: 1200,
  /** Time of a statement on an endpoint that none was sent to yet. */
  initialAnswerMs: 15,
  /** Silence of an endpoint after which it is asked for a sign of life. */
  probeIntervalMs: 300,
  /** Age of the newest sample of the primary at which one is taken. */
  sampleMaxAgeMs: 400,
  /** Longest wait for the answer to a probe, which takes no slot. */
  probeTimeoutMs: 220,
  /** Silence with statements under way after which a probe is sent. */
  inFlightProbeMs: 120,
  /** Extra time of an endpoint in another data centre, for placing. */
  otherDataCentreMs: 3,
  /** Longest time for one try of a read; a third of the statement's. */
  readTryShare: 0.4,
  /** How long one watch of the configuration waits; with the wait for an
   * answer it is within the bound for configurations to be in force. */
  watchConfigurationMs: 3000,
  /** How long one watch of endpoints' entries waits. */
  watchEndpointsMs: 4500,
  /** After a stop was asked for, the balancer still sends callers here. */
  balancerDelayMs: 2500,
  /** Left of the grace when what has not ended by itself is cut off: a slow
   * machine needs some of it to close everything and to exit. */
  stopMarginMs: 500,
  /** Between two looks at the lease for changes of primary. */
  leasePollMs: 10_000,
  /** Head start of the lease's holder when a primary is to be changed. */
  leaseHolderHeadStartMs: 150,
  /** Instances begin a change at different moments within this. */
  changeJitterMs: 150,
  /** Longest wait for the answer to a status call, which needs a slot. */
  statusTimeoutMs: 300,
  /** An endpoint heard of within this before the question counts as reached. */
  directContactMaxAgeMs: 60,
  /** The same for one that is known through a holder: with the wait for a
   * newer sign, longer than a holder lets pass between two probes. */
  relayedContactMaxAgeMs: 100,
  /** Between two looks while an endpoint is asked for another instance. */
  reachPollMs: 20,
  /** How long an endpoint is tried for another instance: longer than a
   * connection takes to open on a busy endpoint. */
  reachTimeoutMs: 250,
  /** How long an endpoint is reached through another instance before it is
   * tried directly again. */
  relayUseMs: 2000,
  /** Silence of an endpoint after which others are asked for a way to it. */
  askPeersAfterMs: 60,
  /** Between two questions for a way to one endpoint. */
  askPeersIntervalMs: 400,
  /** How long what others said of a silent endpoint is believed. */
  reachabilityMaxAgeMs: 1500,
  /** Between two questions to others for a confirmed position: a fraction of
   * the shortest objective, so that a read that waits for it is in time. */
  requestConfirmedIntervalMs: 40,
  /** Longest wait for the answers of other instances. */
  peerQueryTimeoutMs: 400,
  /** Age of a sample at which an instance without connections of its own asks
   * a holder: half of the shortest staleness that routes allow. */
  askHolderSampleAgeMs: 700,
  /** Before it asks another holder: longer than an answer takes. */
  askHolderRetryMs: 150,
  /** Silence of an endpoint after which it asks for a sign of life itself. */
  nonHolderProbeMs: 3000,
  /** The same while no primary is known: half of what holders take. */
  nonHolderNoPrimaryProbeMs: 150,
  /** How long another instance's statement waits for a connection here: half
   * of what one try of a read takes, so that what waited is still answered in
   * time. */
  relayedAcquireMs: 150,
  /** Longest wait for the answer to another instance's statement: the longest
   * that routes allow a statement. */
  relayedAnswerMs: 2500,
  /** After its asker has left, how long an answer is still waited for before
   * the connection is closed: a new one costs an endpoint time as well. */
  relayedAbandonedMs: 200,
  /** What a transaction of another instance may rest beyond the configured
   * time; that instance ends it by then unless it is gone. */
  relayedIdleTransactionSlackMs: 1000,
  /** Longest wait for a relay to take a connection on: a round trip between
   * data centres and a busy instance. */
  relayConnectTimeoutMs: 200,
  /** Silence after which an asker of the relay counts as gone: ten of the
   * questions that one sends while it sends nothing else. */
  requesterIdleTimeoutMs: 30_000,
  /** After which a relay that failed is tried again. */
  relayRetryMs: 1000,
  /** Between two readings of the list of instances. */
  instanceListPollMs: 15_000,
  /** Between two renewals of an instance's entry in the list: two readings. */
  instanceEntryRenewMs: 29_000,
  /** An entry that was not renewed for this long counts no more: the time of
   * three renewals and a reading. */
  instanceEntryExpiryMs: 105_000,
  /** After its start an instance reads the list of instances. */
  firstInstanceListPollMs: 2500,
  /** Between two questions to others while the store is away. */
  askConfigurationIntervalMs: 500,
  /** Longest wait for an ordered change to be seen. */
  primaryChangeTimeoutMs: 3000,
  /** Part of the grace that open transactions have to end. */
  transactionGraceShare: 0.45,
} as const;

/** Counts. */
export const LIMITS = {
  /** Connections being opened to one endpoint at a time. */
  maxConcurrentOpens: 2,
  /** Connections kept open to each endpoint. */
  minConnections: 1,
  /** Connections to one endpoint through relays; they cost the endpoint
   * nothing until a statement uses them. */
  maxRelayedConnections: 8,
  /** Tries of one statement. */
  maxAttempts: 5,
  /** Requests looked at in one lane before the others wait for a change. */
  laneLookAhead: 8,
  /** Instances that are asked whether they reach an endpoint. */
  maxQueriedPeers: 9,
} as const;

/** Evidence that a primary is down, in milliseconds. */
export const FAILOVER_THRESHOLDS = {
  /** Connections refused: the process is gone, or something cuts it off. */
  refusingMs: 100,
  /** Silence: longer than a slow answer and a lost packet. */
  unresponsiveMs: 500,
  /** No endpoint takes writes: longer than a change takes. */
  missingMs: 2500,
} as const;

/** How a change of primary is carried out. */
export const CHANGE_LIMITS = {
  /** The platform's time between the turns of two holders. */
  handoverDelayMs: 3100,
  /** Longer than one order and its answer take on a slow platform. */
  orderWindowMs: 1500,
  retryMs: 100,
} as const;
