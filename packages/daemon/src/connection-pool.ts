/** Connections to one endpoint, kept open between requests. */
import type {Disposable} from '@quetzalreel/common';
import type {EndpointConnection, EndpointDriver} from '@quetzalreel/endpoint';

/** Connections to one endpoint. */
export interface ConnectionPool extends Disposable {
  /** An idle connection, or a new one. Throws EndpointDownError. */
  take(): Promise<EndpointConnection>;
  /** Gives a connection back; with `reusable` false it is closed. */
  give(connection: EndpointConnection, reusable: boolean): void;
  /** Connections that are open and idle. */
  readonly idle: number;
}

/** An empty pool over `driver`. */
export function connectionPool(driver: EndpointDriver): ConnectionPool {
  let idle: EndpointConnection[] = [];
  let disposed = false;
  const drop = (connection: EndpointConnection) => {
    idle = idle.filter(other => other !== connection);
  };
  return {
    get idle() {
      return idle.length;
    },
    async take() {
      for (;;) {
        const connection = idle.pop();
        if (!connection) break;
        if (connection.open) return connection;
      }
      const opened = await driver.connect();
      opened.onClose(() => drop(opened));
      return opened;
    },
    give(connection, reusable) {
      if (!reusable || !connection.open || disposed) connection.dispose();
      else idle.push(connection);
    },
    dispose() {
      disposed = true;
      const owned = idle;
      idle = [];
      for (const connection of owned) connection.dispose();
    },
  };
}
