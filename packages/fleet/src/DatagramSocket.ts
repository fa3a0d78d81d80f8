import * as core from "@peridotloft/core";
import { err, ok, type Result } from "neverthrow";
import * as dgram from "node:dgram";

/** Datagram transport between VMs, which all use the same port. Never throws; a datagram that cannot be sent is lost. */
export interface DatagramSocket {
    send(bytes: Uint8Array, address: string): void;
    onMessage(receive: (bytes: Uint8Array, from: string) => void): void;
    close(): void;
}

/** A UDP socket; until it is bound, what it sends is lost. */
export interface BindableDatagramSocket extends DatagramSocket {
    /** Binds its address; may be called again if that fails. */
    bind(): Promise<Result<void, core.BindFailure>>;
}

export function createDatagramSocket(address: string, port: number): BindableDatagramSocket {
    const socket = dgram.createSocket("udp4");
    let isBound = false;
    return {
        bind: () =>
            new Promise(resolve => {
                socket.once("error", error => resolve(err(core.createBindFailure(address, port, error))));
                socket.bind(port, address, () => {
                    isBound = true;
                    socket.removeAllListeners("error");
                    // After the bind, an error concerns a single datagram, and datagrams may be lost.
                    socket.on("error", () => undefined);
                    resolve(ok(undefined));
                });
            }),
        send(bytes, to) {
            // Node.js would bind any free port.
            if (isBound) {
                socket.send(bytes, port, to, () => undefined);
            }
        },
        onMessage: receive => void socket.on("message", (bytes, { address: from }) => receive(bytes, from)),
        close: () => void socket.close(),
    };
}
