/**
 * Writes a changed configuration to the platform's store. A change is applied
 * at most once: the update is conditional on the version read, and after a lost
 * response the stored configuration is searched for the change id.
 */
import type {Clock} from '@quetzalreel/common';
import {type Configuration, parseConfiguration} from '@quetzalreel/config';
import {
  ConflictError,
  type PlatformClient,
  type StoredObject,
} from '@quetzalreel/object-store';
import {difference} from './difference.js';
import {EMPTY_CONFIGURATION} from './edit.js';
import {ChangeUnknownError, RaceLostError, StoreDownError} from './errors.js';

/** Name of the object in the platform's store that holds the configuration. */
export const CONFIGURATION_OBJECT = 'configuration';

/** Dependencies and timing of `submit`. */
export interface SubmitContext {
  readonly platform: PlatformClient;
  readonly clock: Clock;
  /** How long an update with a lost response is retried, in milliseconds. */
  readonly resolveMs: number;
  /** Delay between two attempts, in milliseconds. */
  readonly retryMs: number;
}

/** A stored configuration with its version in the store. */
export interface StoredConfiguration {
  readonly cfg: Configuration;
  /** Undefined while the object does not exist. */
  readonly version: number | undefined;
}

/** Reads the stored configuration. Throws StoreDownError. */
export async function readStored(
  platform: PlatformClient,
): Promise<StoredConfiguration> {
  let object: StoredObject | undefined;
  try {
    object = await platform.get(CONFIGURATION_OBJECT);
  } catch (err) {
    throw new StoreDownError(err);
  }
  return storedOf(object);
}

function storedOf(object: StoredObject | undefined): StoredConfiguration {
  if (!object) return {cfg: EMPTY_CONFIGURATION, version: undefined};
  return {cfg: parseConfiguration(object.value), version: object.version};
}

/**
 * Replaces `base` by `next` in the store. Throws RaceLostError if another
 * change was accepted first, and ChangeUnknownError if the outcome is still
 * unknown after `resolveMs`.
 */
export async function submit(
  context: SubmitContext,
  base: StoredConfiguration,
  next: Configuration,
): Promise<void> {
  const {platform, clock} = context;
  const deadline = clock.now() + context.resolveMs;
  let lastErr: unknown;
  // Sending the update again is safe: it is conditional on the same version.
  do {
    try {
      await platform.put(CONFIGURATION_OBJECT, next, base.version);
      return;
    } catch (err) {
      lastErr = err;
    }
    const current =
      lastErr instanceof ConflictError
        ? await readNewerThan(context, base)
        : await tryReadStored(platform);
    if (current && hasChange(current.cfg, next.changeId)) return;
    if (current && current.version !== base.version) {
      const isOlder = (current.version ?? 0) < (base.version ?? 0);
      if (!isOlder) throw raceLostError(base.cfg, current.cfg);
    }
    await clock.sleep(context.retryMs);
  } while (clock.now() < deadline);
  throw new ChangeUnknownError(next.changeId, lastErr);
}

function hasChange(cfg: Configuration, changeId: string): boolean {
  if (cfg.changeId === changeId) return true;
  return cfg.changes.some(change => change.changeId === changeId);
}

/**
 * Reads the stored configuration if it is newer than `base`. Falls back to a
 * watch, because a plain read may be stale and a watch is not.
 */
async function readNewerThan(
  context: SubmitContext,
  base: StoredConfiguration,
): Promise<StoredConfiguration | undefined> {
  const {platform, retryMs} = context;
  const read = await tryReadStored(platform);
  if (read && (read.version ?? 0) > (base.version ?? 0)) return read;
  try {
    const seen = base.version ?? 0;
    const object = await platform.watch(CONFIGURATION_OBJECT, seen, retryMs);
    return object ? storedOf(object) : undefined;
  } catch {
    return undefined;
  }
}

async function tryReadStored(
  platform: PlatformClient,
): Promise<StoredConfiguration | undefined> {
  try {
    return await readStored(platform);
  } catch {
    return undefined;
  }
}

function raceLostError(
  base: Configuration,
  current: Configuration,
): RaceLostError {
  const winner = current.changes.find(
    change => change.generation === base.generation + 1,
  );
  const id = winner?.changeId ?? current.changeId;
  const by = winner?.by ?? 'an unknown operator';
  return new RaceLostError(id, by, difference(base, current));
}
