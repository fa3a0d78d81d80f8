import { type Client, Code, ConnectError, createClient } from "@connectrpc/connect";
import * as connectNode from "@connectrpc/connect-node";
import type * as core from "@peridotloft/core";
import { err, ok, type Result } from "neverthrow";
import * as http2 from "node:http2";
import { type ConnectionLiveness, createConnectionLiveness } from "./ConnectionLiveness.js";
import { type Envelope, PeerService, type Reply } from "./gen/peering_pb.js";
import type { PeerCounters } from "./PeerCounters.js";
import * as constants from "./PeeringConstants.js";

/** Error of a call without a reply. `not-sent`: no byte of the call was written. */
export interface ConnectionError {
    readonly kind: "not-sent" | "no-reply";
    readonly message: string;
}

/** One established HTTP/2 connection to a peer. */
export interface PeerConnection {
    /** Incarnation of the peer as learned in the handshake; 0 before. */
    receiverIncarnation: bigint;
    call(envelope: Envelope, timeoutMs: number): Promise<Result<Reply, ConnectionError>>;
    isUsable(): boolean;
    /** Lets calls in flight finish and accepts no new ones. */
    close(): void;
    /** Closes the connection and aborts its calls in flight. */
    destroy(): void;
}

export interface PeerConnectionOptions {
    /** IPv4 address and port. */
    readonly address: string;
    readonly clock: core.Clock;
    readonly counters: PeerCounters;
}

// `instanceof ConnectError` compares fields, also for subclasses, so a set identifies errors of unsent calls.
const notSentErrors = new WeakSet<object>();

function createNotSentError(message: string): ConnectError {
    const error = new ConnectError(message, Code.Unavailable);
    notSentErrors.add(error);
    return error;
}

/** Connects to a peer; the error describes why that failed. */
export function openPeerConnection(options: PeerConnectionOptions): Promise<Result<PeerConnection, string>> {
    const { address, clock, counters } = options;
    return new Promise(resolve => {
        const session = http2.connect(`http://${address}`);
        const fail = (message: string): void => {
            cancel();
            session.destroy();
            resolve(err(message));
        };
        const cancel = clock.setTimer(
            constants.connectTimeoutMs,
            () => fail(`no connection to ${address} within ${constants.connectTimeoutMs} ms`),
        );
        // The listener is never removed: without one, an error of the session would crash the process.
        session.on("error", error => fail(`connection to ${address} failed: ${(error as Error).message}`));
        session.once("close", () => fail(`connection to ${address} was closed`));
        session.once("connect", () => {
            cancel();
            session.unref();
            counters.connectionsOpened++;
            resolve(ok(createPeerConnection(session, options)));
        });
    });
}

function createPeerConnection(session: http2.ClientHttp2Session, options: PeerConnectionOptions): PeerConnection {
    const { clock, counters } = options;
    const liveness = createConnectionLiveness({
        clock,
        ping(onPong) {
            if (isOpen(session)) {
                session.ping(error => error ?? onPong());
            }
        },
        onUnresponsive() {
            counters.connectionsDead++;
            session.destroy();
        },
    });
    // A stream that closes with its session emits no error, so calls in flight are aborted here.
    const activeCalls = new Set<AbortController>();
    session.once("close", () => {
        liveness.dispose();
        activeCalls.forEach(abort => abort.abort(new ConnectError("the connection was lost", Code.Unavailable)));
    });
    session.once("goaway", () => session.close());
    const client = createPeerClient(session, options.address, liveness);
    return {
        receiverIncarnation: 0n,
        call: (envelope, timeoutMs) => callPeer({ client, clock, liveness, activeCalls }, envelope, timeoutMs),
        isUsable: () => isOpen(session),
        close: () => session.close(),
        destroy: () => session.destroy(),
    };
}

function isOpen(session: http2.ClientHttp2Session): boolean {
    return !session.closed && !session.destroyed;
}

function createPeerClient(
    session: http2.ClientHttp2Session,
    address: string,
    liveness: ConnectionLiveness,
): Client<typeof PeerService> {
    const baseUrl = `http://${address}`;
    const transport = connectNode.createConnectTransport({
        baseUrl,
        httpVersion: "2",
        acceptCompression: [],
        readMaxBytes: constants.maxReadBytes,
        sessionManager: {
            authority: new URL(baseUrl).origin,
            async request(method, path, headers, requestOptions) {
                if (!isOpen(session)) {
                    throw createNotSentError(`connection to ${address} is closed`);
                }
                const stream = session.request({ ...headers, ":method": method, ":path": path }, requestOptions);
                stream.once("response", () => liveness.recordActivity());
                return stream;
            },
            notifyResponseByteRead: () => liveness.recordActivity(),
        },
    });
    return createClient(PeerService, transport);
}

interface CallContext {
    readonly client: Client<typeof PeerService>;
    readonly clock: core.Clock;
    readonly liveness: ConnectionLiveness;
    readonly activeCalls: Set<AbortController>;
}

async function callPeer(
    { client, clock, liveness, activeCalls }: CallContext,
    envelope: Envelope,
    timeoutMs: number,
): Promise<Result<Reply, ConnectionError>> {
    const sentMs = clock.nowMs();
    const abort = new AbortController();
    activeCalls.add(abort);
    const endCall = liveness.recordCall();
    const cancel = clock.setTimer(timeoutMs, () => {
        abort.abort(new ConnectError(`no reply within ${timeoutMs} ms`, Code.DeadlineExceeded));
        liveness.recordTimeout(sentMs);
    });
    try {
        return ok(await client.call(envelope, { signal: abort.signal }));
    }
    catch (error) {
        const { rawMessage } = ConnectError.from(error);
        return err({ kind: notSentErrors.has(error as object) ? "not-sent" : "no-reply", message: rawMessage });
    }
    finally {
        cancel();
        activeCalls.delete(abort);
        endCall();
    }
}
