/** Prints what callers get while an endpoint is disturbed. */
import {FAULTS, type FaultName, faultLoad, resultText} from './fault-loads.js';
import {playLoad} from './simulated-load.js';

const SEEDS = [1, 2];
const wanted = process.argv[2] ?? '';
for (const fault of Object.keys(FAULTS) as FaultName[]) {
  if (!fault.includes(wanted)) continue;
  for (const instances of [5, 70]) {
    for (const seed of SEEDS) {
      const result = await playLoad(faultLoad(fault, instances, seed));
      const name = `${fault}, ${instances} instances, seed ${seed}`;
      console.log(`${name}: ${resultText(result)}`);
    }
  }
}
