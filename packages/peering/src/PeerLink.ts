import type * as core from "@peridotloft/core";
import { err, ok, type Result } from "neverthrow";
import { openPeerConnection, type PeerConnection, type PeerConnectionOptions } from "./PeerConnection.js";

export interface PeerLinkOptions extends PeerConnectionOptions {
    /** Learns the peer's incarnation over a new connection and proves that the peer holds the secret. */
    readonly greet: (connection: PeerConnection) => Promise<Result<void, core.PeerError>>;
}

/** The current connection to one address, opened on demand. */
export interface PeerLink {
    readonly address: string;
    /** Returns the usable connection, or opens one. Callers that wait at the same time share one attempt. */
    open(): Promise<Result<PeerConnection, core.PeerError>>;
    /** Lets running calls finish. */
    close(): void;
    /** Ends running calls. */
    destroy(): void;
}

export function createPeerLink(options: PeerLinkOptions): PeerLink {
    let current: PeerConnection | undefined;
    let opening: Promise<Result<PeerConnection, core.PeerError>> | undefined;
    let end: ((connection: PeerConnection) => void) | undefined;

    const openAndGreet = async (): Promise<Result<PeerConnection, core.PeerError>> => {
        const opened = await openPeerConnection(options);
        if (opened.isErr()) {
            return err({ kind: "unreachable", message: opened.error });
        }
        const greeted = await options.greet(opened.value);
        if (greeted.isErr()) {
            opened.value.destroy();
        }
        return greeted.map(() => opened.value);
    };
    const openNew = async (): Promise<Result<PeerConnection, core.PeerError>> => {
        const opened = await openAndGreet();
        opening = undefined;
        current = opened.isOk() ? opened.value : undefined;
        if (current && end) {
            end(current);
        }
        return opened;
    };
    const endWith = (action: (connection: PeerConnection) => void): void => {
        end = action;
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
            opening ??= openNew();
            return opening;
        },
        close: () => endWith(connection => connection.close()),
        destroy: () => endWith(connection => connection.destroy()),
    };
}
