/**
 * Brings a change into the platform's store. It is accepted once at most: the
 * update is conditional, and an answer that is lost is resolved by looking
 * for the change's id.
 */
import type {Clock} from '@quetzalreel/common';
import {type Configuration, parseConfiguration} from '@quetzalreel/config';
import {
  ConflictError,
  type PlatformClient,
  type StoredObject,
} from '@quetzalreel/object-store';
import {difference} from './difference.js';
import {NOTHING} from './edit.js';
import {ChangeUnknownError, RaceLostError, StoreDownError} from './errors.js';

/** Name of the configuration's object in the platform's store. */
export const CONFIGURATION_OBJECT = 'configuration';

/** How a change is brought in. */
export interface SubmitContext {
  readonly platform: PlatformClient;
  readonly clock: Clock;
  /** Time in which a lost answer is resolved, milliseconds. */
  readonly resolveMs: number;
  /** Pause between two tries, milliseconds. */
  readonly retryMs: number;
}

/** The configuration as it is stored. */
export interface Stored {
  readonly cfg: Configuration;
  /** Undefined when there is no object yet. */
  readonly version: number | undefined;
}

/** Reads the stored configuration. Throws StoreDownError. */
export async function readStored(platform: PlatformClient): Promise<Stored> {
  let object: StoredObject | undefined;
  try {
    object = await platform.get(CONFIGURATION_OBJECT);
  } catch (err) {
    throw new StoreDownError(err);
  }
  return storedOf(object);
}

function storedOf(object: StoredObject | undefined): Stored {
  if (!object) return {cfg: NOTHING, version: undefined};
  return {cfg: parseConfiguration(object.value), version: object.version};
}

/**
 * Stores `next` in the place of `base`. Throws RaceLostError when another
 * change came first, ChangeUnknownError when no answer tells.
 */
export async function submit(
  context: SubmitContext,
  base: Stored,
  next: Configuration,
): Promise<void> {
  const {platform, clock} = context;
  const end = clock.now() + context.resolveMs;
  let lastErr: unknown;
  // The same update may be sent again: it is conditional on the same version.
  do {
    try {
      await platform.put(CONFIGURATION_OBJECT, next, base.version);
      return;
    } catch (err) {
      lastErr = err;
    }
    const holds =
      lastErr instanceof ConflictError
        ? await readPast(context, base)
        : await readQuietly(platform);
    if (holds && hasChange(holds.cfg, next.changeId)) return;
    if (holds && holds.version !== base.version) {
      const isOlder = (holds.version ?? 0) < (base.version ?? 0);
      if (!isOlder) throw raceLost(base.cfg, holds.cfg);
    }
    await clock.sleep(context.retryMs);
  } while (clock.now() < end);
  throw new ChangeUnknownError(next.changeId, lastErr);
}

function hasChange(cfg: Configuration, changeId: string): boolean {
  if (cfg.changeId === changeId) return true;
  return cfg.changes.some(change => change.changeId === changeId);
}

/** What holds now, past `base`: a plain read may be stale, a watch is not. */
async function readPast(
  context: SubmitContext,
  base: Stored,
): Promise<Stored | undefined> {
  const {platform, retryMs} = context;
  const read = await readQuietly(platform);
  if (read && (read.version ?? 0) > (base.version ?? 0)) return read;
  try {
    const seen = base.version ?? 0;
    const object = await platform.watch(CONFIGURATION_OBJECT, seen, retryMs);
    return object ? storedOf(object) : undefined;
  } catch {
    return undefined;
  }
}

async function readQuietly(
  platform: PlatformClient,
): Promise<Stored | undefined> {
  try {
    return await readStored(platform);
  } catch {
    return undefined;
  }
}

function raceLost(base: Configuration, holds: Configuration): RaceLostError {
  const winner = holds.changes.find(
    change => change.generation === base.generation + 1,
  );
  const id = winner?.changeId ?? holds.changeId;
  const by = winner?.by ?? 'somebody who told no name';
  return new RaceLostError(id, by, difference(base, holds));
}
