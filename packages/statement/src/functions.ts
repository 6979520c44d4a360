/** Classifies SQL functions by name. */

const wordSet = (text: string) => new Set(text.trim().split(/\s+/));

/** Keywords that may precede a parenthesis without being a function call. */
const NON_FUNCTION_KEYWORDS = wordSet(`
  ALL AND ANY ARRAY AS BETWEEN BY CASE CUBE DISTINCT ELSE EXCEPT EXISTS FILTER
  FROM GROUP HAVING ILIKE IN INTERSECT INTERVAL IS JOIN LATERAL LIKE LIMIT
  MATERIALIZED NOT OFFSET ON OR OVER ROLLUP ROW SELECT SETS SOME THEN UNION
  USING VALUES WHEN WHERE ANALYZE EXPLAIN BIT CHAR CHARACTER DECIMAL NUMERIC
  TIME TIMESTAMP TIMESTAMPTZ VARCHAR VARYING
`);

/** PostgreSQL's built-in functions that are read-only. */
const PURE = wordSet(`
  ABS AGE ARRAY_AGG ARRAY_LENGTH ARRAY_POSITION ARRAY_TO_STRING AVG BOOL_AND
  BOOL_OR BTRIM CARDINALITY CAST CEIL CEILING CHAR_LENGTH COALESCE CONCAT
  CONCAT_WS COUNT CUME_DIST DATE DATE_PART DATE_TRUNC DENSE_RANK EVERY EXTRACT
  FIRST_VALUE FLOOR FORMAT GENERATE_SERIES GREATEST GROUPING INITCAP JSONB_AGG
  JSONB_ARRAY_ELEMENTS JSONB_BUILD_OBJECT JSONB_OBJECT_AGG JSON_AGG
  JSON_BUILD_OBJECT LAG LAST_VALUE LEAD LEAST LEFT LENGTH LOWER LPAD LTRIM
  MAKE_DATE MAKE_INTERVAL MAX MD5 MIN MOD NOW NTH_VALUE NTILE NULLIF
  OCTET_LENGTH OVERLAY PERCENTILE_CONT PERCENTILE_DISC PERCENT_RANK PG_SLEEP
  PLAINTO_TSQUERY POSITION POWER RANK REGEXP_REPLACE REPEAT REPLACE REVERSE
  RIGHT ROUND ROW_NUMBER ROW_TO_JSON RPAD RTRIM SIGN SPLIT_PART SQRT
  STATEMENT_TIMESTAMP STDDEV STRING_AGG STRPOS SUBSTR SUBSTRING SUM TO_CHAR
  TO_DATE TO_JSON TO_JSONB TO_NUMBER TO_TIMESTAMP TO_TSQUERY TO_TSVECTOR
  TRANSLATE TRIM TRUNC TS_RANK UNNEST UPPER VARIANCE VERSION
`);

/**
 * PostgreSQL's built-in functions that write, change another session, or depend
 * on the state of their session.
 */
const WRITING = wordSet(`
  NEXTVAL SETVAL CURRVAL LASTVAL SET_CONFIG TXID_CURRENT PG_CURRENT_XACT_ID
  PG_NOTIFY PG_TERMINATE_BACKEND PG_CANCEL_BACKEND
`);

const WRITING_PREFIXES = ['LO_', 'DBLINK', 'PG_ADVISORY_', 'PG_TRY_ADVISORY_'];

/** Part of the names of advisory lock functions whose lock ends with the transaction. */
const TRANSACTION_LOCK_INFIX = '_XACT_';

/** Whether a name before a parenthesis is known to be read-only. */
export function isPure(name: string): boolean {
  return NON_FUNCTION_KEYWORDS.has(name) || PURE.has(name);
}

/** Whether a function must run on the primary. */
export function isWriting(name: string): boolean {
  if (WRITING.has(name)) return true;
  return WRITING_PREFIXES.some(prefix => name.startsWith(prefix));
}

/** Whether a function leaves a setting or a lock in its session. */
export function isStateful(name: string): boolean {
  if (name === 'SET_CONFIG') return true;
  const isLock = name.startsWith('PG_') && name.includes('ADVISORY_');
  return isLock && !name.includes(TRANSACTION_LOCK_INFIX);
}
