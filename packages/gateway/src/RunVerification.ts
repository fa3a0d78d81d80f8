import type * as catalog from "@peridotloft/catalog";
import type * as core from "@peridotloft/core";
import * as http from "node:http";
import { readCompleteResponse } from "./ResponseRelay.js";
import { connectTimeoutMs } from "./UpstreamAttempt.js";
import { createSingleConnectionAgent } from "./UpstreamConnections.js";
import type { WireCodec } from "./WireCodec.js";

/**
 * What an upstream states of its run.
 *
 * - `same`: the run that its entry describes.
 * - `other`: it has started again since.
 * - `unstated`: neither can be known from its statement or its entry.
 * - `silent`: it accepts connections but has not stated anything in time. A later check can tell.
 * - `unreachable`: no statement, and it may have started again since.
 */
export type RunCheck = "same" | "other" | "unstated" | "silent" | "unreachable";

/** A connection on which an upstream has stated its run. A later run cannot respond on it. */
export interface VerifiedConnection {
    readonly check: RunCheck;
    /** Start of the run in Unix ms; undefined if it is not stated. */
    readonly startedWallMs: number | undefined;
    /** Agent whose only connection is the verified one. */
    readonly agent: http.Agent;
}

/**
 * Asks an upstream which run it is. An entry of the catalog may be that of an earlier run for as long as its update takes, and a
 * request can only name the id, which both runs share.
 *
 * @param timeoutMs time in ms within which the connection is established and the statement received.
 */
export async function verifyRun(
    upstream: catalog.Upstream,
    codec: WireCodec,
    clock: core.Clock,
    timeoutMs: number = connectTimeoutMs,
): Promise<VerifiedConnection> {
    const agent = createSingleConnectionAgent(clock);
    const { body, isSilent } = await requestStatement(upstream, codec.runStatementPath, agent, clock, timeoutMs);
    const startedWallMs = body && codec.readRunStart(body);
    const check = body === undefined
        ? isSilent && upstream.startedWallMs !== undefined ? "silent" : "unreachable"
        : startedWallMs === undefined || upstream.startedWallMs === undefined
        ? "unstated"
        : startedWallMs === upstream.startedWallMs
        ? "same"
        : "other";
    return { check, startedWallMs, agent };
}

interface Statement {
    /** Empty if the upstream has none; undefined if there is no response. */
    readonly body: Buffer | undefined;
    /** Whether the connection was established and stayed open, but the response did not end in time. */
    readonly isSilent: boolean;
}

function requestStatement(
    { host, port }: catalog.Upstream,
    path: string,
    agent: http.Agent,
    clock: core.Clock,
    timeoutMs: number,
): Promise<Statement> {
    return new Promise(resolve => {
        const request = http.get({ agent, host, port, path, setHost: false });
        let hasResponse = false;
        const settle = (body: Buffer | undefined, isSilent = false): void => {
            cancelTimer();
            resolve({ body, isSilent });
        };
        const cancelTimer = clock.setTimer(timeoutMs, () => {
            settle(undefined, request.socket?.connecting === false);
            request.destroy();
        });
        request.on("error", () => settle(undefined));
        // Without a listener Node.js closes the connection and reports no error.
        request.on("upgrade", (_response, socket) => {
            socket.destroy();
            settle(undefined);
        });
        request.on("close", () => hasResponse || settle(undefined));
        request.on("response", response => {
            hasResponse = true;
            void readCompleteResponse(response).then(body =>
                settle(body.isErr() ? undefined : response.statusCode === 200 ? body.value : Buffer.alloc(0))
            );
        });
    });
}
