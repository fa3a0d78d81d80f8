import * as core from "@peridotloft/core";
import { err, ok, type Result } from "neverthrow";
import { isAuthenticReply, signEnvelope } from "./EnvelopeCodec.js";
import { createEnvelopeReceiver } from "./EnvelopeReceiver.js";
import { type Envelope, Outcome, type Reply } from "./gen/peering_pb.js";
import type { PeerConnection } from "./PeerConnection.js";
import { createPeerCounters, type PeerCounters } from "./PeerCounters.js";
import * as constants from "./PeeringConstants.js";
import { createPeerLink, type PeerLink } from "./PeerLink.js";
import { createPeerServer } from "./PeerServer.js";
import { createReplayGuard } from "./ReplayGuard.js";

export interface PeerNodeOptions {
    readonly self: core.VmId;
    /** Identifies this run; must be higher than the incarnation of every earlier run of this VM. */
    readonly incarnation: number;
    /** IPv4 address and port to listen on; port 0 picks a free one. */
    readonly listen: string;
    /** Key of the HMAC, the same on all VMs. */
    readonly secret: string;
    /** Current IPv4 address and port of a VM; undefined if unknown. Evaluated on each call. */
    readonly addressOf: (vm: core.VmId) => string | undefined;
    readonly clock: core.Clock;
}

/** Exchanges authenticated messages with other VMs over HTTP/2. */
export interface PeerNode extends core.PeerEndpoint {
    /**
     * Starts listening; returns the bound address and port, or an error message.
     *
     * @param wait how long to wait if the address is in use; by default it does not wait.
     */
    start(wait?: core.AddressWait): Promise<Result<string, string>>;
    counters(): Readonly<PeerCounters>;
    /** Aborts calls in flight and stops listening. */
    dispose(): Promise<void>;
}

type CallResult = Result<Uint8Array, core.PeerError>;

export function createPeerNode(options: PeerNodeOptions): PeerNode {
    const { self, secret, clock } = options;
    const counters = createPeerCounters();
    const handlers = new Map<string, core.SliceHandler>();
    const links = new Map<core.VmId, PeerLink>();
    const incarnation = BigInt(options.incarnation);
    let counter = 0n;
    let disposed = false;
    const server = createPeerServer(createEnvelopeReceiver({
        self,
        incarnation,
        secret,
        counters,
        replayGuard: createReplayGuard(),
        handlerOf: slice => handlers.get(slice),
    }));

    const ensureLink = (to: core.VmId): PeerLink | undefined => {
        const address = options.addressOf(to);
        const existing = links.get(to);
        if (existing && existing.address === address) {
            return existing;
        }
        existing?.close();
        links.delete(to);
        if (address === undefined) {
            return undefined;
        }
        const link = createPeerLink({ address, clock, counters, handshake: connection => handshake(to, connection) });
        links.set(to, link);
        return link;
    };

    const sign = (
        to: core.VmId,
        fields: Pick<Envelope, "receiverIncarnation" | "slice" | "payload">,
    ): Envelope => signEnvelope(secret, { sender: self, incarnation, receiver: to, counter: ++counter, ...fields });

    // No message is sent before the handshake completes, so every failure here means that nothing was delivered.
    const handshake = async (to: core.VmId, connection: PeerConnection): Promise<Result<void, core.PeerError>> => {
        const handshakeEnvelope = sign(to, { receiverIncarnation: 0n, slice: "", payload: new Uint8Array() });
        const reply = await connection.call(handshakeEnvelope, constants.connectTimeoutMs);
        if (reply.isErr()) {
            return fail("unreachable", `${to}: ${reply.error.message}`);
        }
        if (!isAuthenticReply(secret, handshakeEnvelope, reply.value)) {
            counters.repliesUnauthentic++;
            return fail("refused", `handshake reply of ${to} is not authentic${errorTextOf(reply.value)}`);
        }
        if (reply.value.outcome !== Outcome.GREETED) {
            return fail("refused", `refused by ${to}: ${reply.value.error}`);
        }
        connection.receiverIncarnation = reply.value.incarnation;
        return ok(undefined);
    };

    const send = async (to: core.VmId, slice: string, payload: Uint8Array, timeoutMs: number): Promise<CallResult> => {
        if (payload.length > constants.maxPayloadBytes) {
            const limit = constants.maxPayloadBytes;
            return fail("refused", `payload of ${payload.length} bytes is above the limit of ${limit}`);
        }
        const link = disposed ? undefined : ensureLink(to);
        if (!link) {
            return fail("unreachable", disposed ? "this VM is shutting down" : `address of ${to} is unknown`);
        }
        const deadlineMs = clock.nowMs() + timeoutMs;
        const opened = await withTimeout(clock, timeoutMs, link.open());
        if (opened.isErr()) {
            return err(opened.error);
        }
        const remainingMs = Math.max(1, deadlineMs - clock.nowMs());
        const { receiverIncarnation } = opened.value;
        const envelope = sign(to, { receiverIncarnation, slice, payload });
        const reply = await opened.value.call(envelope, remainingMs);
        return reply.match(
            value => readReply(secret, envelope, value, counters),
            error => fail(error.kind === "not-sent" ? "unreachable" : "timeout", `${to}: ${error.message}`),
        );
    };

    return {
        registerSlice(slice, handler) {
            core.invariant(!handlers.has(slice), `slice ${slice} is registered once`);
            handlers.set(slice, handler);
            return () => {
                handlers.delete(slice);
            };
        },
        async call(to, slice, payload, timeoutMs) {
            counters.callsSent++;
            const result = await send(to, slice, payload, timeoutMs);
            countResult(counters, result);
            return result;
        },
        start: wait => server.listen(options.listen, wait),
        counters: () => ({ ...counters }),
        async dispose() {
            disposed = true;
            links.forEach(link => link.destroy());
            await server.close();
        },
    };
}

function fail(kind: core.PeerError["kind"], message: string): Result<never, core.PeerError> {
    return err({ kind, message });
}

// The connection attempt continues after the deadline, for later calls. The call that timed out is not sent.
function withTimeout<T>(
    clock: core.Clock,
    timeoutMs: number,
    opening: Promise<Result<T, core.PeerError>>,
): Promise<Result<T, core.PeerError>> {
    return new Promise(resolve => {
        const cancel = clock.setTimer(
            timeoutMs,
            () => resolve(fail("unreachable", `no connection within ${timeoutMs} ms`)),
        );
        void opening.then(result => {
            cancel();
            resolve(result);
        });
    });
}

function readReply(secret: string, envelope: Envelope, reply: Reply, counters: PeerCounters): CallResult {
    const peer = envelope.receiver;
    if (!isAuthenticReply(secret, envelope, reply)) {
        counters.repliesUnauthentic++;
        // A reply that is not authentic may have been forged, so it proves nothing about what the peer did.
        return fail("timeout", `reply of ${peer} is not authentic${errorTextOf(reply)}`);
    }
    switch (reply.outcome) {
        case Outcome.OK:
            return ok(reply.payload);
        case Outcome.REFUSED:
            return fail("refused", `refused by ${peer}: ${reply.error}`);
        case Outcome.REPEATED:
            return fail("timeout", `refused by ${peer}, which may have handled an earlier copy: ${reply.error}`);
        default:
            return fail("failed", `${peer}: ${reply.error}`);
    }
}

function errorTextOf(reply: Reply): string {
    return reply.error === "" ? "" : `; reported error: ${reply.error.slice(0, 200)}`;
}

function countResult(counters: PeerCounters, result: CallResult): void {
    const counterOfKind = {
        unreachable: "callsUnreachable",
        timeout: "callsTimedOut",
        refused: "callsRefused",
        failed: "callsFailed",
    } as const;
    counters[result.isOk() ? "callsOk" : counterOfKind[result.error.kind]]++;
}
