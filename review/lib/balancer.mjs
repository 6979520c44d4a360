/**
 * Stand-in for the users' load balancer (PROTOCOL.md, "Ingress"): which machine
 * of a zone gets a new connection.
 */
const CHECK_MS = 1000;
const MISSES = 2;

function hashOf(text) {
  let hash = 2166136261;
  for (const char of text) hash = Math.imul(hash ^ char.charCodeAt(0), 16777619);
  return hash >>> 0;
}

/** Starts the checks of `nodes()`, the machines of one zone. */
export function startBalancer({record, nodes}) {
  const misses = new Map();
  const timer = setInterval(() => {
    for (const node of nodes()) {
      void node.isReady().then(ready => {
        const before = misses.get(node.name) ?? MISSES;
        const after = ready ? 0 : before + 1;
        misses.set(node.name, after);
        if (before < MISSES && after >= MISSES) record.note(`out of rotation: ${node.name}`);
        if (before >= MISSES && after === 0) record.note(`in rotation: ${node.name}`);
      });
    }
  }, CHECK_MS);
  return {
    /** The machine for a new connection; `attempt` counts retries. */
    pick(client, attempt = 0) {
      const all = nodes();
      const inside = all.filter(({name}) => (misses.get(name) ?? MISSES) < MISSES);
      // With fewer than half in rotation, all machines of the zone are used.
      const used = inside.length * 2 < all.length ? all : inside;
      return used[(hashOf(client) + attempt) % used.length];
    },
    end: () => clearInterval(timer),
  };
}
