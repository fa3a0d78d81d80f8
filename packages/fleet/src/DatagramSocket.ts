import { err, ok, type Result } from "neverthrow";
import * as dgram from "node:dgram";

/** Datagram transport between VMs, which all use the same port. Never throws; a datagram that cannot be sent is lost. */
export interface DatagramSocket {
    send(bytes: Uint8Array, address: string): void;
    onMessage(receive: (bytes: Uint8Array, from: string) => void): void;
    close(): void;
}

/** Binds a UDP socket; fails with the reason if the address cannot be bound. */
export function openDatagramSocket(address: string, port: number): Promise<Result<DatagramSocket, string>> {
    return new Promise(resolve => {
        const socket = dgram.createSocket("udp4");
        socket.once("error", error => resolve(err(`${address}:${port}: ${String(error)}`)));
        socket.bind(port, address, () => {
            socket.removeAllListeners("error");
            // After the bind, an error concerns a single datagram, and datagrams may be lost.
            socket.on("error", () => undefined);
            resolve(ok({
                send: (bytes, to) => socket.send(bytes, port, to, () => undefined),
                onMessage: receive => void socket.on("message", (bytes, { address: from }) => receive(bytes, from)),
                close: () => void socket.close(),
            }));
        });
    });
}
