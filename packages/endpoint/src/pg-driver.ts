/** Opens connections to an endpoint that speaks the PostgreSQL protocol. */
import {
  type EndpointConnection,
  type EndpointControl,
  EndpointDriver,
} from './endpoint.js';
import {type EndpointAddress, connectSocket} from './pg-connect.js';
import {pgConnection} from './pg-connection.js';
import {type ControlLimits, pgControl} from './pg-control.js';

class PgDriver extends EndpointDriver {
  constructor(
    private readonly address: EndpointAddress,
    private readonly limits: ControlLimits,
  ) {
    super();
  }

  get endpoint(): string {
    return this.address.name;
  }

  control(): EndpointControl {
    return pgControl(this.address, this.limits);
  }

  async connect(): Promise<EndpointConnection> {
    return pgConnection(this.address.name, await connectSocket(this.address));
  }
}

/** A driver for the endpoint at `address`. */
export function pgDriver(
  address: EndpointAddress,
  limits: ControlLimits,
): EndpointDriver {
  return new PgDriver(address, limits);
}
