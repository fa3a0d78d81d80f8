import { createClient } from "@connectrpc/connect";
import * as connectNode from "@connectrpc/connect-node";
import { err, ok, type Result } from "neverthrow";
import * as http from "node:http";
import type { CatalogChange, Position, PositionedChange } from "./Catalog.js";
import type { CatalogFollower } from "./CatalogFollower.js";
import type { CatalogRelaySource, SourceError } from "./CatalogSource.js";
import { CatalogRelay } from "./gen/relay_pb.js";

/** Maximum reply size in bytes: enough for a configuration of 1 MB and the upstreams of a large fleet. */
const maxReplyBytes = 16 * 1024 * 1024;
/** Maximum size in bytes of a request, which holds three numbers. */
const maxRequestBytes = 1024;
/** Upper bound in ms for the wait that a caller requests. */
const maxWaitMs = 5_000;

/** Serves the catalog of `follower` to other VMs. */
export function createRelayServer(follower: Pick<CatalogFollower, "waitForChanges">): http.Server {
    const handle = connectNode.connectNodeAdapter({
        routes: router =>
            router.service(CatalogRelay, {
                async watch({ after, afterEra, waitMs }) {
                    const known = { era: Number(afterEra), revision: Number(after) };
                    const batch = await follower.waitForChanges(known, Math.min(waitMs, maxWaitMs));
                    // Before the first listing, the reply has the largest age, so that the caller does not use it.
                    return batch
                        ? {
                            position: BigInt(batch.position.revision),
                            era: BigInt(batch.position.era),
                            ageMs: Math.min(0xffffffff, Math.ceil(batch.ageMs)),
                            complete: batch.complete,
                            changes: batch.changes.map(({ item, position, change }) => ({
                                item,
                                position: BigInt(position.revision),
                                era: BigInt(position.era),
                                change: JSON.stringify(change),
                            })),
                        }
                        : { ageMs: 0xffffffff };
                },
            }),
        grpc: false,
        grpcWeb: false,
        acceptCompression: [],
        readMaxBytes: maxRequestBytes,
    });
    return http.createServer((request, response) => {
        // The rest of a request that is too large would be read for nothing.
        response.once("finish", () => request.complete || request.destroy());
        handle(request, response);
    });
}

/** Reads the catalog from the VM at an IPv4 address. */
export function createRelaySource(address: string, port: number, agent: http.Agent): CatalogRelaySource {
    const client = createClient(
        CatalogRelay,
        connectNode.createConnectTransport({
            httpVersion: "1.1",
            baseUrl: `http://${address}:${port}`,
            nodeOptions: { agent },
            useBinaryFormat: true,
            readMaxBytes: maxReplyBytes,
        }),
    );
    return {
        address,
        async watch(position, waitMs, timeoutMs) {
            try {
                const reply = await client.watch(
                    { after: BigInt(position.revision), afterEra: BigInt(position.era), waitMs },
                    { timeoutMs },
                );
                const changes = reply.changes.map(({ item, position: revision, era, change }) =>
                    readChange(item, { era: Number(era), revision: Number(revision) }, change)
                );
                return ok({
                    position: { era: Number(reply.era), revision: Number(reply.position) },
                    ageMs: reply.ageMs,
                    complete: reply.complete,
                    changes,
                });
            }
            catch (error) {
                return fail(String(error));
            }
        },
    };
}

function readChange(item: string, position: Position, text: string): PositionedChange {
    return { item, position, change: JSON.parse(text) as CatalogChange };
}

function fail(message: string): Result<never, SourceError> {
    return err({ kind: "unreachable", message });
}
