import { once } from "node:events";
import * as net from "node:net";

/** Connects to a server on loopback that listens; returns both ends of the connection. */
export async function connectPair(server: net.Server): Promise<readonly [outer: net.Socket, inner: net.Socket]> {
    const outer = net.connect((server.address() as net.AddressInfo).port, "127.0.0.1");
    const [inner] = await once(server, "connection") as [net.Socket];
    return [outer, inner];
}
