/** Formats what an instance explains as text. Pure functions. */
import type {AccountQuotaState} from '@quetzalreel/quota';
import type {
  EndpointDescription,
  EndpointVerdict,
  Explanation,
  GroupDescription,
  InstanceDescription,
  Outcome,
  Rejection,
  WaitCause,
} from '@quetzalreel/proxy';
import {formatRows} from './output.js';
import type {Row} from './show.js';

const NO_VALUE = '-';

type Position = EndpointDescription['position'];
type Line = readonly [label: string, text: string];

const REJECTIONS: Readonly<Record<Rejection, string>> = {
  silent: 'does not answer',
  leaving: 'is leaving',
  tried: 'was tried',
  notAllowed: 'not allowed',
  notPrimary: 'not the primary',
  noPosition: 'position unknown',
  behind: 'is behind',
  atLimit: 'limit reached',
  noConnection: 'no idle connection',
  notPermitted: 'use of the primary not permitted',
  slower: 'slower',
};

const CAUSES: Readonly<Record<WaitCause, string>> = {
  primary: 'a primary, since none is known',
  primaryChange: 'the primary to answer, or for another one',
  permission: 'permission to use the primary',
  connection: 'an idle connection',
  limit: 'the end of another statement, since the limit is reached',
  endpoint: 'an endpoint that answers and has the position',
};

/** Formats an explanation as lines and a table. */
export function formatExplanation(found: Explanation): string {
  const {endpoints, outcome} = found;
  const lines: Line[] = [
    ['instance', instanceText(found)],
    ['request', requestText(found)],
  ];
  if (found.account) lines.push(['account', accountText(found)]);
  if (found.group) lines.push(['group', groupText(found.group)]);
  if (found.need) lines.push(['needs', needText(found.need)]);
  lines.push(['result', outcomeText(outcome)]);
  const text = formatLines(lines);
  return endpoints.length > 0
    ? text + formatRows(endpoints.map(verdictRow), 'table')
    : text;
}

/** Formats the state of an instance as lines and a table for each group. */
export function formatInstance(found: InstanceDescription): string {
  const {sessions, takesSessions, quotas, groups} = found;
  const taken = takesSessions ? '' : '; takes no more';
  let text = formatLines([
    ['instance', instanceText(found)],
    ['sessions', `${sessions}${taken}`],
  ]);
  if (quotas.length > 0) text += formatRows(quotas.map(quotaRow), 'table');
  for (const group of groups) {
    text += `\n${formatLines([['group', groupText(group)]])}`;
    text += formatRows(group.endpoints.map(endpointRow), 'table');
  }
  return text;
}

function formatLines(lines: readonly Line[]): string {
  return lines.map(([label, text]) => `${label.padEnd(10)}${text}\n`).join('');
}

function instanceText({
  instance,
  dataCentre,
  generation,
}: Pick<
  InstanceDescription,
  'instance' | 'dataCentre' | 'generation'
>): string {
  const configuration =
    generation > 0 ? `configuration ${generation}` : 'no configuration';
  return `${instance} in ${dataCentre}, ${configuration}`;
}

function requestText({statement, route}: Explanation): string {
  if (!route) return statement;
  const {database, name, rule, maxStalenessMs, priority} = route;
  const age = maxStalenessMs > 0 ? `, at most ${maxStalenessMs} ms old` : '';
  return `${statement} on database ${database} by route ${name}: ${rule}${age}, priority ${priority}`;
}

function accountText({account, quota}: Explanation): string {
  const {name, priority} = account!;
  const text = `${name}, priority ${priority}`;
  if (!quota) return text;
  const {ratePerSecond, burst} = quota.limit;
  const {held, owners, refused, lastRefusedBy} = quota;
  const last = lastRefusedBy ? `, last by ${lastRefusedBy}` : '';
  return (
    `${text}; ${held} tokens held of ${ratePerSecond}/s, burst ${burst}; ` +
    `owners ${owners.join(' ')}; ${refused} refused here${last}`
  );
}

/** The quota of an account as the instance sees it, as a row of a table. */
function quotaRow(quota: AccountQuotaState) {
  const {account, limit, owners, backup, role, pending} = quota;
  const {level, outstanding, held, waiting, admitted, refused} = quota;
  return {
    account,
    limit: `${limit.ratePerSecond}/s ${limit.burst}`,
    owners: owners.join(' '),
    backup: backup ?? '',
    role: pending ? `${role}, ${pending}` : role,
    level: Math.floor(level),
    outstanding,
    held,
    waiting,
    admitted,
    refused,
  };
}

function groupText(found: GroupDescription): string {
  const {group, primary, primaryMissingMs, isPrimaryOutOfReach} = found;
  const known = primary
    ? `primary ${primary}${isPrimaryOutOfReach ? ', out of reach from here' : ''}`
    : `no primary for ${primaryMissingMs} ms`;
  return `${group}: ${known}; ${found.waiting} requests wait`;
}

type Need = NonNullable<Explanation['need']>;

const PRIMARY_REASONS: Readonly<
  Record<NonNullable<Need['primaryBecause']>, string>
> = {
  statement: 'it may write',
  route: 'reads of the route see every commit',
  noPosition: 'no confirmed position is recent enough',
};

function needText({primaryBecause, atLeast}: Need): string {
  if (primaryBecause) return `the primary: ${PRIMARY_REASONS[primaryBecause]}`;
  return atLeast
    ? `a log at ${positionText(atLeast)} or later`
    : 'any endpoint';
}

function outcomeText(outcome: Outcome): string {
  switch (outcome.type) {
    case 'runs': {
      const {endpoint, mayBeBehind} = outcome;
      const note = mayBeBehind ? ', or elsewhere if it is still behind' : '';
      return `runs on ${endpoint}${note}`;
    }
    case 'waits': {
      const {cause, endpoints, waiting, opening, atMostMs} = outcome;
      const at = endpoints.length > 0 ? ` (${endpoints.join(', ')})` : '';
      const opened = opening ? `; one to ${opening} is opened` : '';
      const {code, text} = outcome.otherwise;
      return `waits for ${CAUSES[cause]}${at}${opened}; ${waiting} wait already; after ${atMostMs} ms ${code}: ${text}`;
    }
    case 'refused': {
      const {isSession, error} = outcome;
      const what = isSession ? 'the session is refused' : 'refused at once';
      return `${what}, ${error.code}: ${error.text}`;
    }
  }
}

function endpointRow(found: EndpointDescription): Row {
  const {limit, connections} = found;
  return {
    endpoint: found.endpoint,
    centre: found.dataCentre,
    state: found.state,
    role: found.role,
    position: positionText(found.position),
    'known (ms)': found.knownMsAgo ?? NO_VALUE,
    'in flight': `${limit.inFlight} of ${limit.most}`,
    connections: `${connections.idle} idle of ${connections.open}`,
    by: holderText(connections),
  };
}

function verdictRow(found: EndpointVerdict): Row {
  const {lag, costMs, isTaken, rejection} = found;
  return {
    ...endpointRow(found),
    lacks: lagText(lag),
    'cost (ms)': costMs,
    result: isTaken ? 'taken' : REJECTIONS[rejection!],
  };
}

function positionText(position: Position): string {
  return position ? `${position.term}.${position.offset}` : NO_VALUE;
}

function lagText(lag: EndpointVerdict['lag']): string {
  if (!lag) return NO_VALUE;
  return lag.terms > 0 ? `${lag.terms} terms` : String(lag.records);
}

/** Who holds the connections that this instance uses. */
function holderText({
  isHolder,
  isOnDetour,
  holders,
}: EndpointDescription['connections']): string {
  if (isOnDetour) return 'detour';
  if (isHolder) return 'this instance';
  return holders.length > 0 ? holders.join(' ') : 'nobody';
}
