import type * as core from "@peridotloft/core";
import type * as documents from "@peridotloft/document";
import type { DocumentExchange, PeerVersion } from "./DocumentExchange.js";
import type { DocumentInForce } from "./DocumentFeed.js";
import type { DocumentStore, OfferedText } from "./DocumentStore.js";
import * as constants from "./PlatformConstants.js";

/** The highest valid document seen while none is trusted. */
export interface Candidate {
    readonly document: DocumentInForce;
    readonly offered: OfferedText;
}

export interface TrustGatheringOptions {
    readonly self: core.VmId;
    readonly clock: core.Clock;
    readonly exchange: DocumentExchange;
    readonly store: DocumentStore;
    readonly seedPeers: readonly core.VmId[];
    /** How many of this many VMs must have been heard. */
    readonly quorumOf: (vms: number) => number;
}

/** Decides when a VM that restarted with no state may trust a document. */
export interface TrustGathering {
    /** Starts the rounds of questions; called once the configuration service answered or failed. */
    start(): void;
    /** Takes a document of the configuration service as a candidate. */
    offer(document: DocumentInForce, offered: OfferedText): void;
    /** The newest document seen so far. */
    candidate(): documents.FleetDocument | undefined;
    stop(): void;
}

interface PeerAnswer extends PeerVersion {
    readonly peer: core.VmId;
}

/**
 * In each round every VM that the candidate names is asked for its version; without a candidate, every seed peer. A
 * newer document is fetched and becomes the candidate. The candidate is put in force when none of the VMs heard in one
 * round has a newer one, and these were enough: a quorum of the VMs it names that are not starting; or all VMs it names;
 * or, for `startingQuorumWaitMs` without a break, a quorum with the starting ones.
 */
export function createTrustGathering(options: TrustGatheringOptions): TrustGathering {
    const { self, clock, exchange, store } = options;
    let candidate: Candidate | undefined;
    let started = false;
    let stopped = false;
    let cancel = (): void => undefined;
    /** Since when each round heard a quorum that may include starting VMs. */
    let quorumSinceMs: number | undefined;

    const offer = (document: DocumentInForce, offered: OfferedText): void => {
        if (!candidate || document.document.version > candidate.document.document.version) {
            candidate = { document, offered };
        }
    };
    const candidateVersion = (): number => candidate?.document.document.version ?? 0;

    const vmsToAsk = (): readonly core.VmId[] => {
        const named = candidate?.document.document.vms.filter(vm => vm.state !== "retired").map(vm => vm.id);
        return named ?? [...new Set([...options.seedPeers, self])];
    };
    const ask = async (peers: readonly core.VmId[]): Promise<PeerAnswer[]> => {
        const answers = await Promise.all(peers.map(async peer => ({ peer, answer: await exchange.askVersion(peer) })));
        return answers.flatMap(({ peer, answer }) => answer.isOk() ? [{ peer, ...answer.value }] : []);
    };
    const fetchNewer = async (answers: readonly PeerAnswer[]): Promise<void> => {
        const newest = answers.reduce((best, answer) => answer.version > best.version ? answer : best);
        const fetched = await exchange.fetch(newest.peer, undefined);
        if (fetched.isOk() && fetched.value) {
            const offered = fetched.value;
            store.parse(offered).map(document => offer(document, offered));
        }
    };
    /** Whether the VMs heard in one round are enough to go by; a VM with version 0 is starting, as this one is. */
    const isEnough = (vms: readonly core.VmId[], answers: readonly PeerAnswer[]): boolean => {
        const nowMs = clock.nowMs();
        const quorum = options.quorumOf(vms.length);
        const running = answers.filter(answer => answer.version > 0).length;
        const heard = answers.length + (vms.includes(self) ? 1 : 0);
        quorumSinceMs = heard >= quorum ? quorumSinceMs ?? nowMs : undefined;
        const waited = quorumSinceMs !== undefined && nowMs - quorumSinceMs >= constants.startingQuorumWaitMs;
        return running >= quorum || heard === vms.length || waited;
    };
    const round = async (): Promise<void> => {
        const asked = candidate;
        const vms = vmsToAsk();
        const answers = await ask(vms.filter(vm => vm !== self));
        if (stopped || store.inForce.read()) {
            return;
        }
        if (answers.some(answer => answer.version > candidateVersion())) {
            await fetchNewer(answers);
        }
        const enough = isEnough(vms, answers);
        const unchanged = candidate === asked;
        // Also false when a newer document was announced and could not be fetched.
        const isNewest = answers.every(answer => answer.version <= candidateVersion());
        if (!stopped && candidate && unchanged && isNewest && enough) {
            store.adopt(candidate.document, candidate.offered);
            return;
        }
        schedule(unchanged ? constants.trustRoundMs : 0);
    };
    const schedule = (delayMs: number): void => {
        if (!stopped) {
            cancel = clock.setTimer(delayMs, () => void round());
        }
    };

    return {
        start() {
            if (!started) {
                started = true;
                schedule(0);
            }
        },
        offer,
        candidate: () => candidate?.document.document,
        stop() {
            stopped = true;
            cancel();
        },
    };
}
