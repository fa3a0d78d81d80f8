import type * as core from "@peridotloft/core";
import type * as documents from "@peridotloft/document";
import type { DocumentExchange, PeerVersion } from "./DocumentExchange.js";
import type { ActiveDocument } from "./DocumentFeed.js";
import type { DocumentStore, ReceivedText } from "./DocumentStore.js";
import * as constants from "./PlatformConstants.js";

/** The newest valid document received before one is active. */
export interface Candidate {
    readonly parsed: ActiveDocument;
    readonly received: ReceivedText;
}

export interface StartupQuorumOptions {
    readonly self: core.VmId;
    readonly clock: core.Clock;
    readonly exchange: DocumentExchange;
    readonly store: DocumentStore;
    readonly seedPeers: readonly core.VmId[];
    /** Number of VMs that must reply, for a fleet of `vms` VMs. */
    readonly quorumOf: (vms: number) => number;
}

/** Decides when a starting VM, which has no stored state, may adopt a document. */
export interface StartupQuorum {
    /** Starts the rounds of version requests. Called after the first call to the configuration service has ended. */
    start(): void;
    /** Makes a document from the configuration service the candidate if it is newer than the current candidate. */
    offer(parsed: ActiveDocument, received: ReceivedText): void;
    /** The newest document received so far. */
    candidate(): documents.FleetDocument | undefined;
    stop(): void;
}

interface PeerReply extends PeerVersion {
    readonly peer: core.VmId;
}

/**
 * In each round, every VM listed in the candidate is asked for its version; without a candidate, every seed peer. A newer
 * document is fetched and becomes the candidate. The candidate is adopted after a round in which no VM reports a newer
 * version and enough VMs reply. Any one of these suffices:
 *
 * - a quorum, not counting starting VMs;
 * - all listed VMs;
 * - a quorum, counting starting VMs, if it has replied in every round for `startingQuorumWaitMs`.
 */
export function createStartupQuorum(options: StartupQuorumOptions): StartupQuorum {
    const { self, clock, exchange, store } = options;
    let candidate: Candidate | undefined;
    let started = false;
    let stopped = false;
    let cancel = (): void => undefined;
    /** Time since which a quorum, counting starting VMs, has replied in every round. */
    let quorumSinceMs: number | undefined;

    const offer = (parsed: ActiveDocument, received: ReceivedText): void => {
        if (!candidate || parsed.document.version > candidate.parsed.document.version) {
            candidate = { parsed, received };
        }
    };
    const candidateVersion = (): number => candidate?.parsed.document.version ?? 0;

    const vmsToCall = (): readonly core.VmId[] => {
        const listedVms = candidate?.parsed.document.vms.filter(vm => vm.state !== "retired").map(vm => vm.id);
        return listedVms ?? [...new Set([...options.seedPeers, self])];
    };
    const requestVersions = async (peers: readonly core.VmId[]): Promise<PeerReply[]> => {
        const replies = await Promise.all(
            peers.map(async peer => ({ peer, reply: await exchange.requestVersion(peer) })),
        );
        return replies.flatMap(({ peer, reply }) => reply.isOk() ? [{ peer, ...reply.value }] : []);
    };
    const fetchNewer = async (replies: readonly PeerReply[]): Promise<void> => {
        const newest = replies.reduce((best, reply) => reply.version > best.version ? reply : best);
        const fetched = await exchange.fetch(newest.peer, undefined);
        if (fetched.isOk() && fetched.value) {
            const received = fetched.value;
            store.parse(received).map(parsed => offer(parsed, received));
        }
    };
    /** Whether enough VMs replied in a round. A VM that reports version 0 is starting, like this one. */
    const hasQuorum = (vms: readonly core.VmId[], replies: readonly PeerReply[]): boolean => {
        const nowMs = clock.nowMs();
        const quorum = options.quorumOf(vms.length);
        const runningCount = replies.filter(reply => reply.version > 0).length;
        const repliedCount = replies.length + (vms.includes(self) ? 1 : 0);
        quorumSinceMs = repliedCount >= quorum ? quorumSinceMs ?? nowMs : undefined;
        const hasWaited = quorumSinceMs !== undefined && nowMs - quorumSinceMs >= constants.startingQuorumWaitMs;
        return runningCount >= quorum || repliedCount === vms.length || hasWaited;
    };
    const runRound = async (): Promise<void> => {
        const candidateBefore = candidate;
        const vms = vmsToCall();
        const replies = await requestVersions(vms.filter(vm => vm !== self));
        if (stopped || store.activeDocument.read()) {
            return;
        }
        if (replies.some(reply => reply.version > candidateVersion())) {
            await fetchNewer(replies);
        }
        const quorumReached = hasQuorum(vms, replies);
        const unchanged = candidate === candidateBefore;
        // Also false if a newer version was announced but could not be fetched.
        const isNewest = replies.every(reply => reply.version <= candidateVersion());
        if (!stopped && candidate && unchanged && isNewest && quorumReached) {
            store.adopt(candidate.parsed, candidate.received);
            return;
        }
        schedule(unchanged ? constants.startupRoundMs : 0);
    };
    const schedule = (delayMs: number): void => {
        if (!stopped) {
            cancel = clock.setTimer(delayMs, () => void runRound());
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
        candidate: () => candidate?.parsed.document,
        stop() {
            stopped = true;
            cancel();
        },
    };
}
