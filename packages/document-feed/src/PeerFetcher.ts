import type * as core from "@peridotloft/core";
import type { DocumentExchange } from "./DocumentExchange.js";
import type { DocumentStore } from "./DocumentStore.js";

/** Fetches newer documents from the peers that announce them. */
export interface PeerFetcher {
    /** Records that a peer has this version, and fetches it if it is newer than the active one. */
    onAnnouncedVersion(peer: core.VmId, version: number): void;
}

/** Runs one fetch at a time, from the peer with the highest version first; a failed fetch continues with the next peer. */
export function createPeerFetcher(exchange: DocumentExchange, store: DocumentStore): PeerFetcher {
    const announcedVersions = new Map<core.VmId, number>();
    // Announced versions whose text was invalid; fetching them again would return the same text.
    const rejectedVersions = new Set<number>();
    let fetching = false;

    const nextPeer = (): core.VmId | undefined => {
        const current = store.activeDocument.read()?.document.version ?? 0;
        const ahead = [...announcedVersions].filter(([, version]) =>
            version > current && !rejectedVersions.has(version)
        );
        return ahead.sort(([, left], [, right]) => right - left)[0]?.[0];
    };
    const fetchFrom = async (peer: core.VmId): Promise<void> => {
        const announced = announcedVersions.get(peer) ?? 0;
        // Removed until the peer announces a version again, so that a failing peer is not called in a loop.
        announcedVersions.delete(peer);
        const fetched = await exchange.fetch(peer, store.activeDocument.read());
        if (fetched.isOk() && fetched.value) {
            const received = fetched.value;
            store.parse(received).match(
                candidate => {
                    store.adopt(candidate, received);
                    rejectedVersions.clear();
                },
                () => rejectedVersions.add(announced),
            );
        }
    };
    const fetchAll = async (): Promise<void> => {
        fetching = true;
        for (let peer = nextPeer(); peer !== undefined; peer = nextPeer()) {
            await fetchFrom(peer);
        }
        announcedVersions.clear();
        fetching = false;
    };
    return {
        onAnnouncedVersion(peer, version) {
            if (version <= (store.activeDocument.read()?.document.version ?? 0)) {
                return;
            }
            announcedVersions.set(peer, version);
            if (!fetching && nextPeer() !== undefined) {
                void fetchAll();
            }
        },
    };
}
