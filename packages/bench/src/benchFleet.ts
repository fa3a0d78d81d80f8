import * as core from "@peridotloft/core";
import type * as documents from "@peridotloft/document";
import * as feeds from "@peridotloft/document-feed";
import * as membership from "@peridotloft/membership";
import * as testing from "@peridotloft/testing";

export interface BenchFleetOptions {
    readonly size: number;
    readonly zones: number;
    readonly seed: number;
    /** Returns the JSON text of a version. */
    readonly textOf: (version: number) => string;
    readonly createHistory: () => feeds.PatchHistory;
}

/** Bytes that VMs sent to each other, including the transport overhead of each message. */
export interface SentBytes {
    readonly gossip: number;
    readonly documents: number;
}

/** VMs with gossip and document feed on a virtual clock and network. */
export interface BenchFleet {
    readonly clock: testing.VirtualClock;
    readonly service: testing.FakePlatform;
    sent(): SentBytes;
    calls(): number;
    /** Share in [0, 1] of all VMs' views of their peers in which the peer is not `alive`. */
    notAliveRatio(): number;
    publish(version: number): void;
    /** Times in ms from publication to adoption, in ascending order, of the VMs that have adopted the version. */
    adoptionsMs(version: number): readonly number[];
}

export function createBenchFleet(options: BenchFleetOptions): BenchFleet {
    const { size, seed } = options;
    const clock = testing.createVirtualClock();
    const random = testing.createSeededRandom(seed);
    const network = testing.createVirtualNetwork({ clock, random });
    const service = testing.createFakePlatform(clock);
    const sent = { gossip: 0, documents: 0 };
    let calls = 0;
    const publishedMs = new Map<number, number>();
    const adoptions = new Map<number, number[]>();

    const publish = (version: number): void => {
        publishedMs.set(version, clock.nowMs());
        adoptions.set(version, []);
        service.publish(version, options.textOf(version));
    };
    const recordAdoption = (version: number): void => {
        adoptions.get(version)?.push(clock.nowMs() - (publishedMs.get(version) ?? 0));
    };
    const withByteCount = (endpoint: core.PeerEndpoint): core.PeerEndpoint => ({
        ...endpoint,
        async call(to, slice, payload, timeoutMs) {
            const kind = slice === membership.membershipSlice ? "gossip" : "documents";
            calls++;
            sent[kind] += payload.length + membership.heartbeatTransportBytes;
            const reply = await endpoint.call(to, slice, payload, timeoutMs);
            sent[kind] += (reply.isOk() ? reply.value.length : 0) + membership.ackTransportBytes;
            return reply;
        },
    });

    publish(1);
    const gossips = vmIds(size).map(self => {
        const endpoint = withByteCount(network.attach(self));
        const cell = core.createSnapshotCell<documents.FleetDocument | undefined>(undefined);
        const shared = { self, clock, random, endpoint };
        const gossip = membership.createMembership({ ...shared, incarnation: 1, document: cell });
        const feed = feeds.createDocumentFeed({
            ...shared,
            membership: gossip,
            platformUrls: ["http://platform"],
            seedPeers: [],
            httpGet: service.httpGetOf(self),
            history: options.createHistory(),
        });
        feed.activeDocument.changes.subscribe(active => {
            cell.update(() => active?.document);
            if (active) {
                recordAdoption(active.document.version);
            }
        });
        gossip.start();
        feed.start();
        return gossip;
    });

    return {
        clock,
        service,
        sent: () => ({ ...sent }),
        calls: () => calls,
        notAliveRatio() {
            const health = gossips.flatMap(gossip => gossip.peers().map(peer => peer.health));
            return health.filter(state => state !== "alive").length / health.length;
        },
        publish,
        adoptionsMs: version => adoptions.get(version) ?? [],
    };
}

export function vmIds(size: number): readonly core.VmId[] {
    return Array.from({ length: size }, (_, index) => core.vmId(`vm-${String(index).padStart(3, "0")}`));
}

/** Creates documents of about `bytes` bytes, where consecutive versions differ in one customer. */
export function createDocumentTexts(size: number, zones: number, bytes: number): (version: number) => string {
    const vms = vmIds(size).map((id, index) => ({
        id,
        zone: `zone-${index % zones}`,
        peerAddress: `127.0.${index >> 8}.${index & 255}:7000`,
    }));
    const base = {
        zones: Array.from({ length: zones }, (_, index) => ({ id: `zone-${index}`, region: "r" })),
        vms,
        pools: [{
            id: "p",
            kind: "engine",
            upstreams: [{ id: "u", zone: "zone-0", url: "http://127.0.0.1:1", slots: 8, coldSlots: 1 }],
        }],
    };
    const keyBytes = 110;
    const keys = Array.from({ length: Math.max(0, Math.floor((bytes - JSON.stringify(base).length) / keyBytes)) }).map(
        (_, index) => ({ id: `k${index}`, customer: "c0", sha256: createKeyHash(index) }),
    );
    return version =>
        JSON.stringify({
            version,
            ...base,
            customers: Array.from({ length: 10 }, (_, index) => ({
                id: `c${index}`,
                rateCostPerS: 100,
                burstCost: index === version % 10 ? 1_000 + version : 1_000,
            })),
            keys,
        });
}

// Random digits are as incompressible as the hashes of real keys.
function createKeyHash(index: number): string {
    const random = testing.createSeededRandom(index);
    return Array.from({ length: 64 }, () => Math.floor(random() * 16).toString(16)).join("");
}
