import type * as core from "@peridotloft/core";

export interface DatagramNetworkOptions {
    readonly clock: core.Clock;
    /** Delay of a datagram in ms; undefined if it is lost. */
    readonly delayMs: (from: string, to: string, bytes: Uint8Array) => number | undefined;
}

/** Simulated datagrams between VMs in one test process. */
export interface DatagramNetwork {
    /** Returns the socket of a VM; it replaces an earlier one with the same address. */
    openSocket(address: string): DatagramEndpoint;
}

export interface DatagramEndpoint {
    send(bytes: Uint8Array, to: string): void;
    onMessage(receive: (bytes: Uint8Array, from: string) => void): void;
    close(): void;
}

export function createDatagramNetwork({ clock, delayMs }: DatagramNetworkOptions): DatagramNetwork {
    const receivers = new Map<string, (bytes: Uint8Array, from: string) => void>();
    return {
        openSocket: address => ({
            send(bytes, to) {
                const delay = delayMs(address, to, bytes);
                if (delay !== undefined) {
                    clock.setTimer(delay, () => receivers.get(to)?.(bytes, address));
                }
            },
            onMessage: receive => void receivers.set(address, receive),
            close: () => void receivers.delete(address),
        }),
    };
}
