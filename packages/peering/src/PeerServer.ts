import * as connectNode from "@connectrpc/connect-node";
import * as core from "@peridotloft/core";
import type { Result } from "neverthrow";
import * as http2 from "node:http2";
import type { AddressInfo } from "node:net";
import { type Envelope, PeerService, type Reply } from "./gen/peering_pb.js";
import * as constants from "./PeeringConstants.js";

/** HTTP/2 server that receives envelopes from other VMs. */
export interface PeerServer {
    /**
     * Starts listening; returns the bound address, or an error message.
     *
     * @param wait how long to wait if the address is in use; by default it does not wait.
     */
    listen(address: string, wait?: core.AddressWait): Promise<Result<string, string>>;
    /** Closes all connections and stops listening. */
    close(): Promise<void>;
}

export function createPeerServer(handle: (envelope: Envelope) => Promise<Reply>): PeerServer {
    const server = http2.createServer(connectNode.connectNodeAdapter({
        routes: router => router.service(PeerService, { call: handle }),
        grpc: false,
        grpcWeb: false,
        acceptCompression: [],
        readMaxBytes: constants.maxReadBytes,
    }));
    const sessions = new Set<http2.ServerHttp2Session>();
    server.on("session", session => {
        sessions.add(session);
        session.setTimeout(constants.serverIdleTimeoutMs, () => session.close());
        session.on("error", () => session.destroy());
        session.once("close", () => sessions.delete(session));
    });
    return {
        listen: (address, wait) => listen(server, address, wait),
        close() {
            sessions.forEach(session => session.destroy());
            return new Promise(resolve => server.close(() => resolve()));
        },
    };
}

async function listen(
    server: http2.Http2Server,
    address: string,
    wait: core.AddressWait | undefined,
): Promise<Result<string, string>> {
    const { hostname, port } = new URL(`http://${address}`);
    const tryListen = () => core.listen(server, { host: hostname, port: Number(port) });
    const listening = wait
        ? await core.bindAddress(wait, tryListen)
        : (await tryListen()).mapErr(({ error }) => `${address}: ${error}`);
    return listening.map(() => {
        const bound = server.address() as AddressInfo;
        return `${bound.address}:${bound.port}`;
    });
}
