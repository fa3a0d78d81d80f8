import type * as core from "@peridotloft/core";
import type { DocumentExchange } from "./DocumentExchange.js";
import type { DocumentStore } from "./DocumentStore.js";

/** Fetches newer documents from the peers that announce them. */
export interface PeerFollower {
    /** Notes that a peer holds this version. */
    note(peer: core.VmId, version: number): void;
}

/** One fetch runs at a time; when it fails, the next peer that is ahead is asked. */
export function createPeerFollower(exchange: DocumentExchange, store: DocumentStore): PeerFollower {
    const versions = new Map<core.VmId, number>();
    // Versions that peers hold and this VM refuses; fetching them again would give the same text.
    const refused = new Set<number>();
    let fetching = false;

    const nextPeer = (): core.VmId | undefined => {
        const current = store.inForce.read()?.document.version ?? 0;
        const ahead = [...versions].filter(([, version]) => version > current && !refused.has(version));
        return ahead.sort(([, left], [, right]) => right - left)[0]?.[0];
    };
    const fetchFrom = async (peer: core.VmId): Promise<void> => {
        const announced = versions.get(peer) ?? 0;
        // Forgotten until it announces its version again, so that a peer that fails is not asked in a loop.
        versions.delete(peer);
        const fetched = await exchange.fetch(peer, store.inForce.read());
        if (fetched.isOk() && fetched.value) {
            const offered = fetched.value;
            store.parse(offered).match(
                candidate => {
                    store.adopt(candidate, offered);
                    refused.clear();
                },
                () => refused.add(announced),
            );
        }
    };
    const run = async (): Promise<void> => {
        fetching = true;
        for (let peer = nextPeer(); peer !== undefined; peer = nextPeer()) {
            await fetchFrom(peer);
        }
        versions.clear();
        fetching = false;
    };
    return {
        note(peer, version) {
            if (version <= (store.inForce.read()?.document.version ?? 0)) {
                return;
            }
            versions.set(peer, version);
            if (!fetching && nextPeer() !== undefined) {
                void run();
            }
        },
    };
}
