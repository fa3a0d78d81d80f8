import * as core from "@peridotloft/core";
import type * as membership from "@peridotloft/membership";
import { createDocumentExchange } from "./DocumentExchange.js";
import type { ActiveDocument, DocumentFeed } from "./DocumentFeed.js";
import { createDocumentStore, sameVersionError } from "./DocumentStore.js";
import { createHttpGet, type HttpGet } from "./HttpGet.js";
import { createPatchHistory, type PatchHistory } from "./PatchHistory.js";
import { createPeerFetcher } from "./PeerFetcher.js";
import { createPlatformClient, type PublishedText, type VmList } from "./PlatformClient.js";
import * as constants from "./PlatformConstants.js";
import { createPlatformContact } from "./PlatformContact.js";
import { type PlatformRole, startPlatformReader } from "./PlatformReader.js";
import { createStartupQuorum } from "./StartupQuorum.js";
import { platformRoleOf } from "./WatcherRanking.js";

export interface DocumentFeedOptions {
    readonly self: core.VmId;
    readonly clock: core.Clock;
    readonly random: core.Random;
    readonly endpoint: core.PeerEndpoint;
    readonly membership: Pick<
        membership.Membership,
        "peers" | "registerPeerListener" | "registerSection" | "setDocument"
    >;
    /** Base URLs of the configuration service; a failed call switches to the next one. */
    readonly platformUrls: readonly string[];
    /** VMs that are asked for the document at startup while the configuration service is unavailable. */
    readonly seedPeers: readonly core.VmId[];
    readonly httpGet?: HttpGet;
    /** Patches between versions, which are sent to peers instead of full documents. */
    readonly history?: PatchHistory;
    /** Whether a document may replace the active one; by default if its version is higher. */
    readonly isNewer?: (candidateVersion: number, currentVersion: number) => boolean;
    /** Number of VMs that must reply before a starting VM adopts a document; by default more than half. */
    readonly quorumOf?: (vms: number) => number;
}

const isHigher = (candidateVersion: number, currentVersion: number): boolean => candidateVersion > currentVersion;
const moreThanHalf = (vms: number): number => Math.floor(vms / 2) + 1;

/** A feed that also resolves VM addresses, even before a document is active. */
export interface AddressingDocumentFeed extends DocumentFeed {
    /**
     * Address and port of a VM that is not retired, from the active document or, before there is one, from the newest
     * document received. A starting VM needs it to call the VMs that are not among its seed peers.
     */
    addressOf(vm: core.VmId): string | undefined;
}

/** Creates the feed of one VM. It is idle until `start` is called. */
export function createDocumentFeed(options: DocumentFeedOptions): AddressingDocumentFeed {
    const { self, clock, random, endpoint } = options;
    const client = createPlatformClient({
        clock,
        urls: options.platformUrls,
        httpGet: options.httpGet ?? createHttpGet(),
    });
    const store = createDocumentStore({
        clock,
        history: options.history ?? createPatchHistory(),
        isNewer: options.isNewer ?? isHigher,
        onAdopted: adopted => options.membership.setDocument(adopted.document.version, adopted.digest),
    });
    const exchange = createDocumentExchange(endpoint, store);
    const peerFetcher = createPeerFetcher(exchange, store);
    const startupQuorum = createStartupQuorum({
        self,
        clock,
        exchange,
        store,
        seedPeers: options.seedPeers,
        quorumOf: options.quorumOf ?? moreThanHalf,
    });
    const contact = createPlatformContact(clock, random);
    const cleanUps: (() => void)[] = [];
    let vmList: VmList = new Map();

    const knownVersion = (): number =>
        store.activeDocument.read()?.document.version ?? (startupQuorum.candidate()?.version ?? 0);
    const onDocument = (published: PublishedText): boolean =>
        store.parse(published).match(parsed => {
            const isNewVersion = parsed.document.version > knownVersion();
            if (store.activeDocument.read()) {
                store.adopt(parsed, published);
            }
            else {
                startupQuorum.offer(parsed, published);
            }
            return isNewVersion;
        }, () => false);
    const determineRole = (): PlatformRole => {
        const current = store.activeDocument.read();
        if (current === undefined) {
            return (startupQuorum.candidate()?.version ?? 0) > 0 ? "watcher" : "reader";
        }
        const role = platformRoleOf(current.document, self, excludedVms());
        return role === "reader" && contact.shouldWatchAsFallback() ? "standby" : role;
    };
    const excludedVms = (): ReadonlySet<core.VmId> =>
        new Set([
            ...options.membership.peers().filter(peer => peer.health === "unreachable").map(peer => peer.id),
            ...[...vmList].filter(([, state]) => state === "leaving").map(([id]) => id),
        ]);
    const onPeer = (peer: membership.PeerUpdate): void => {
        const current = store.activeDocument.read();
        if (!current) {
            return;
        }
        if (peer.documentVersion === current.document.version) {
            rejectDifferentDigest(current, peer);
        }
        peerFetcher.onAnnouncedVersion(peer.id, peer.documentVersion);
    };
    const rejectDifferentDigest = (current: ActiveDocument, peer: membership.PeerUpdate): void => {
        const digest = peer.documentDigest ?? "";
        if (digest !== "" && !current.digest.startsWith(digest)) {
            store.reject(`peer ${peer.id}`, [sameVersionError(current, digest)]);
        }
    };
    const onCallCompleted = (succeeded: boolean): void => {
        if (succeeded) {
            contact.recordResponse();
        }
        startupQuorum.start();
    };
    const readVmList = async (): Promise<void> => {
        (await client.readVms()).map(list => {
            vmList = list;
        });
    };

    return {
        activeDocument: store.activeDocument,
        addressOf(id) {
            const newest = store.activeDocument.read()?.document ?? startupQuorum.candidate();
            return newest?.vms.find(vm => vm.id === id && vm.state !== "retired")?.peerAddress;
        },
        isReady: () => store.activeDocument.read() !== undefined,
        lastRejected: () => store.lastRejected(),
        start() {
            cleanUps.push(
                endpoint.registerSlice(constants.platformSlice, exchange.handler),
                options.membership.registerPeerListener(onPeer),
                options.membership.registerSection(contact.section),
                startPlatformReader({
                    clock,
                    random,
                    client,
                    knownVersion,
                    determineRole,
                    onDocument,
                    onCallCompleted,
                }),
                core.setRepeatingTimer(clock, constants.readPeriodMs, () => void readVmList()),
                () => startupQuorum.stop(),
                () => client.dispose(),
            );
        },
        dispose() {
            cleanUps.splice(0).forEach(cleanUp => cleanUp());
        },
    };
}
