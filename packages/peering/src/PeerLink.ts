import { ok, type Result } from "neverthrow";
import { openPeerConnection, type PeerConnection, type PeerConnectionOptions } from "./PeerConnection.js";

/** The current connection to one address, opened on demand. */
export interface PeerLink {
    readonly address: string;
    /** Returns the usable connection, or opens one. Callers that wait at the same time share one attempt. */
    open(): Promise<Result<PeerConnection, string>>;
    /** Lets running calls finish. */
    close(): void;
    /** Ends running calls. */
    destroy(): void;
}

export function createPeerLink(options: PeerConnectionOptions): PeerLink {
    let current: PeerConnection | undefined;
    let opening: Promise<Result<PeerConnection, string>> | undefined;
    let end: ((connection: PeerConnection) => void) | undefined;

    const openNew = async (): Promise<Result<PeerConnection, string>> => {
        const opened = await openPeerConnection(options);
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
