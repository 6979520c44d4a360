/**
 * Prints what callers get while an endpoint is disturbed. Arguments: part of the
 * name of the disturbances, and seeds.
 */
import {
  DISTURBANCES,
  type DisturbanceName,
  disturbedLoad,
  resultText,
} from './fault-loads.js';
import {playLoad} from './simulated-load.js';

const FLEETS = [5, 70];
const wanted = process.argv[2] ?? '';
const seeds = (process.argv[3] ?? '1,2').split(',').map(Number);
for (const name of Object.keys(DISTURBANCES) as DisturbanceName[]) {
  if (!name.includes(wanted)) continue;
  for (const instances of FLEETS) {
    for (const seed of seeds) {
      const result = await playLoad(disturbedLoad(name, instances, seed));
      const text = resultText(name, result);
      console.log(`${name}, ${instances} instances, seed ${seed}: ${text}`);
    }
  }
}
