import * as core from "@peridotloft/core";
import type * as membership from "@peridotloft/membership";
import { createDocumentExchange } from "./DocumentExchange.js";
import type { DocumentFeed, DocumentInForce } from "./DocumentFeed.js";
import { createDocumentStore, sameVersionError } from "./DocumentStore.js";
import { createHttpGet, type HttpGet } from "./HttpGet.js";
import { createPatchHistory, type PatchHistory } from "./PatchHistory.js";
import { createPeerFollower } from "./PeerFollower.js";
import { createPlatformClient, type PublishedText, type VmList } from "./PlatformClient.js";
import * as constants from "./PlatformConstants.js";
import { createPlatformContact } from "./PlatformContact.js";
import { type PlatformRole, startPlatformReader } from "./PlatformReader.js";
import { createTrustGathering } from "./TrustGathering.js";
import { watchingRoleOf } from "./WatcherRanking.js";

export interface DocumentFeedOptions {
    readonly self: core.VmId;
    readonly clock: core.Clock;
    readonly random: core.Random;
    readonly endpoint: core.PeerEndpoint;
    readonly membership: Pick<
        membership.Membership,
        "peers" | "registerPeerListener" | "registerSection" | "setDocument"
    >;
    /** Base URLs of the configuration service; the next one is used after a failure. */
    readonly platformUrls: readonly string[];
    /** VMs that are asked for the document when the configuration service is down at the start. */
    readonly seedPeers: readonly core.VmId[];
    readonly httpGet?: HttpGet;
    /** Steps between versions that are sent to peers instead of whole documents. */
    readonly history?: PatchHistory;
    /** Whether a document may replace the one in force; by default when its version is higher. */
    readonly isNewer?: (candidateVersion: number, currentVersion: number) => boolean;
    /** VMs that must be heard before a document is trusted after a start; by default more than half. */
    readonly quorumOf?: (vms: number) => number;
}

const isHigher = (candidateVersion: number, currentVersion: number): boolean => candidateVersion > currentVersion;
const moreThanHalf = (vms: number): number => Math.floor(vms / 2) + 1;

/** The feed with the addresses that it learns before it trusts a document. */
export interface AddressingDocumentFeed extends DocumentFeed {
    /**
     * Address and port of a VM that is not retired: in the document in force, or before there is one, in the newest
     * document seen. A VM that starts needs it to ask the VMs that are not among its seed peers.
     */
    addressOf(vm: core.VmId): string | undefined;
}

/** Creates the feed of one VM. It does nothing until `start`. */
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
    const follower = createPeerFollower(exchange, store);
    const trust = createTrustGathering({
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

    const knownVersion = (): number => store.inForce.read()?.document.version ?? (trust.candidate()?.version ?? 0);
    const onText = (published: PublishedText): boolean =>
        store.parse(published).match(document => {
            const isNews = document.document.version > knownVersion();
            if (store.inForce.read()) {
                store.adopt(document, published);
            }
            else {
                trust.offer(document, published);
            }
            return isNews;
        }, () => false);
    const roleOf = (): PlatformRole => {
        const current = store.inForce.read();
        if (current === undefined) {
            return (trust.candidate()?.version ?? 0) > 0 ? "watcher" : "reader";
        }
        const role = watchingRoleOf(current.document, self, avoided());
        return role === "reader" && contact.shouldStepIn() ? "standby" : role;
    };
    const avoided = (): ReadonlySet<core.VmId> =>
        new Set([
            ...options.membership.peers().filter(peer => peer.health === "unreachable").map(peer => peer.id),
            ...[...vmList].filter(([, state]) => state === "leaving").map(([id]) => id),
        ]);
    const onPeer = (peer: membership.PeerUpdate): void => {
        const current = store.inForce.read();
        if (!current) {
            return;
        }
        if (peer.documentVersion === current.document.version) {
            reportOtherDigest(current, peer);
        }
        follower.note(peer.id, peer.documentVersion);
    };
    const reportOtherDigest = (current: DocumentInForce, peer: membership.PeerUpdate): void => {
        const digest = peer.documentDigest ?? "";
        if (digest !== "" && !current.digest.startsWith(digest)) {
            store.reject(`peer ${peer.id}`, [sameVersionError(current, digest)]);
        }
    };
    const onAnswer = (answered: boolean): void => {
        if (answered) {
            contact.noteAnswer();
        }
        trust.start();
    };
    const readVmList = async (): Promise<void> => {
        (await client.readVms()).map(list => {
            vmList = list;
        });
    };

    return {
        inForce: store.inForce,
        addressOf(id) {
            const newest = store.inForce.read()?.document ?? trust.candidate();
            return newest?.vms.find(vm => vm.id === id && vm.state !== "retired")?.peerAddress;
        },
        isReady: () => store.inForce.read() !== undefined,
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
                    roleOf,
                    onText,
                    onAnswer,
                }),
                core.setRepeatingTimer(clock, constants.readPeriodMs, () => void readVmList()),
                () => trust.stop(),
                () => client.dispose(),
            );
        },
        dispose() {
            cleanUps.splice(0).forEach(cleanUp => cleanUp());
        },
    };
}
