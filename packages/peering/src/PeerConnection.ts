import { type Client, Code, ConnectError, createClient } from "@connectrpc/connect";
import * as connectNode from "@connectrpc/connect-node";
import type * as core from "@peridotloft/core";
import { err, ok, type Result } from "neverthrow";
import * as http2 from "node:http2";
import { type ConnectionLiveness, createConnectionLiveness } from "./ConnectionLiveness.js";
import { type Envelope, PeerService, type Reply } from "./gen/peering_pb.js";
import type { PeerCounters } from "./PeerCounters.js";
import * as constants from "./PeeringConstants.js";

/** Why a connection produced no reply. `not-sent`: no byte of the call was written. */
export interface ConnectionError {
    readonly kind: "not-sent" | "no-reply";
    readonly message: string;
}

/** One established HTTP/2 connection to a peer. */
export interface PeerConnection {
    /** Run of the peer that answered the greeting; 0 before. */
    receiverIncarnation: bigint;
    call(envelope: Envelope, timeoutMs: number): Promise<Result<Reply, ConnectionError>>;
    isUsable(): boolean;
    /** Lets running calls finish and accepts no new ones. */
    close(): void;
    /** Ends the connection and its running calls. */
    destroy(): void;
}

export interface PeerConnectionOptions {
    /** IPv4 address and port. */
    readonly address: string;
    readonly clock: core.Clock;
    readonly counters: PeerCounters;
}

// ConnectError matches `instanceof` by its fields, also for subclasses, so a set tells the errors apart.
const notSentErrors = new WeakSet<object>();

function createNotSentError(message: string): ConnectError {
    const error = new ConnectError(message, Code.Unavailable);
    notSentErrors.add(error);
    return error;
}

/** Connects to a peer; the error says why that failed. */
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
        // The listener stays: a session without one would end the process on an error.
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
        ping(onAnswer) {
            if (isOpen(session)) {
                session.ping(error => error ?? onAnswer());
            }
        },
        onDead() {
            counters.connectionsDead++;
            session.destroy();
        },
    });
    // A stream that ends with its session carries no error of its own, so waiting calls are ended here.
    const running = new Set<AbortController>();
    session.once("close", () => {
        liveness.dispose();
        running.forEach(abort => abort.abort(new ConnectError("the connection was lost", Code.Unavailable)));
    });
    session.once("goaway", () => session.close());
    const client = createPeerClient(session, options.address, liveness);
    return {
        receiverIncarnation: 0n,
        call: (envelope, timeoutMs) => callPeer({ client, clock, liveness, running }, envelope, timeoutMs),
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
                stream.once("response", () => liveness.noteHeard());
                return stream;
            },
            notifyResponseByteRead: () => liveness.noteHeard(),
        },
    });
    return createClient(PeerService, transport);
}

interface CallContext {
    readonly client: Client<typeof PeerService>;
    readonly clock: core.Clock;
    readonly liveness: ConnectionLiveness;
    readonly running: Set<AbortController>;
}

async function callPeer(
    { client, clock, liveness, running }: CallContext,
    envelope: Envelope,
    timeoutMs: number,
): Promise<Result<Reply, ConnectionError>> {
    const sentMs = clock.nowMs();
    const abort = new AbortController();
    running.add(abort);
    const endCall = liveness.noteCall();
    const cancel = clock.setTimer(timeoutMs, () => {
        abort.abort(new ConnectError(`no answer within ${timeoutMs} ms`, Code.DeadlineExceeded));
        liveness.noteTimeout(sentMs);
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
        running.delete(abort);
        endCall();
    }
}
