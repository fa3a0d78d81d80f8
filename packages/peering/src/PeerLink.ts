import type * as core from "@peridotloft/core";
import { err, ok, type Result } from "neverthrow";
import { openPeerConnection, type PeerConnection, type PeerConnectionOptions } from "./PeerConnection.js";

export interface PeerLinkOptions extends PeerConnectionOptions {
    /** Obtains the peer's incarnation over a new connection and verifies that the peer has the secret. */
    readonly handshake: (connection: PeerConnection) => Promise<Result<void, core.PeerError>>;
}

/** The current connection to one address, opened on demand. */
export interface PeerLink {
    readonly address: string;
    /** Returns the usable connection, or opens one. Concurrent callers share one attempt. */
    open(): Promise<Result<PeerConnection, core.PeerError>>;
    /** Closes the connection after the calls in flight. */
    close(): void;
    /** Closes the connection and aborts the calls in flight. */
    destroy(): void;
}

export function createPeerLink(options: PeerLinkOptions): PeerLink {
    let current: PeerConnection | undefined;
    let opening: Promise<Result<PeerConnection, core.PeerError>> | undefined;
    let closeAction: ((connection: PeerConnection) => void) | undefined;

    const connectAndHandshake = async (): Promise<Result<PeerConnection, core.PeerError>> => {
        const opened = await openPeerConnection(options);
        if (opened.isErr()) {
            return err({ kind: "unreachable", message: opened.error });
        }
        const handshakeResult = await options.handshake(opened.value);
        if (handshakeResult.isErr()) {
            opened.value.destroy();
        }
        return handshakeResult.map(() => opened.value);
    };
    const openConnection = async (): Promise<Result<PeerConnection, core.PeerError>> => {
        const opened = await connectAndHandshake();
        opening = undefined;
        current = opened.isOk() ? opened.value : undefined;
        if (current && closeAction) {
            closeAction(current);
        }
        return opened;
    };
    const closeWith = (action: (connection: PeerConnection) => void): void => {
        closeAction = action;
        if (current) {
            action(current);
        }
    };
    return {
        address: options.address,
        async open() {
            if (current?.isUsable()) {
                return ok(current);
            }
            opening ??= openConnection();
            return opening;
        },
        close: () => closeWith(connection => connection.close()),
        destroy: () => closeWith(connection => connection.destroy()),
    };
}
