import type * as core from "@peridotloft/core";
import type * as documents from "@peridotloft/document";
import type { DocumentExchange, PeerVersion } from "./DocumentExchange.js";
import type { DocumentInForce } from "./DocumentFeed.js";
import type { DocumentStore, ReceivedText } from "./DocumentStore.js";
import * as constants from "./PlatformConstants.js";

/** The newest valid document received before one is active. */
export interface Candidate {
    readonly parsed: DocumentInForce;
    readonly received: ReceivedText;
}

export interface StartupQuorumOptions {
    readonly self: core.VmId;
    readonly clock: core.Clock;
    readonly exchange: DocumentExchange;
    readonly store: DocumentStore;
    readonly seedPeers: readonly core.VmId[];
    /** Number of VMs that must respond, for a fleet of `vms` VMs. */
    readonly quorumOf: (vms: number) => number;
}

/** Decides when a starting VM, which has no stored state, may activate a document. */
export interface StartupQuorum {
    /** Starts the rounds of version requests. Called after the first call to the configuration service has ended. */
    start(): void;
    /** Proposes a document of the configuration service as the candidate. */
    offer(parsed: DocumentInForce, received: ReceivedText): void;
    /** The newest document received so far. */
    candidate(): documents.FleetDocument | undefined;
    stop(): void;
}

interface PeerResponse extends PeerVersion {
    readonly peer: core.VmId;
}

/**
 * In each round, every VM listed in the candidate is asked for its version; without a candidate, every seed peer. A newer
 * document is fetched and becomes the candidate. The candidate is activated when no VM reports a newer version in a round
 * and one of these has responded: a quorum, not counting starting VMs; all listed VMs; or, in every round for
 * `startingQuorumWaitMs`, a quorum that counts starting VMs.
 */
export function createStartupQuorum(options: StartupQuorumOptions): StartupQuorum {
    const { self, clock, exchange, store } = options;
    let candidate: Candidate | undefined;
    let started = false;
    let stopped = false;
    let cancel = (): void => undefined;
    /** Since when a quorum, counting starting VMs, has responded in every round. */
    let quorumSinceMs: number | undefined;

    const offer = (parsed: DocumentInForce, received: ReceivedText): void => {
        if (!candidate || parsed.document.version > candidate.parsed.document.version) {
            candidate = { parsed, received };
        }
    };
    const candidateVersion = (): number => candidate?.parsed.document.version ?? 0;

    const vmsToCall = (): readonly core.VmId[] => {
        const listedVms = candidate?.parsed.document.vms.filter(vm => vm.state !== "retired").map(vm => vm.id);
        return listedVms ?? [...new Set([...options.seedPeers, self])];
    };
    const requestVersions = async (peers: readonly core.VmId[]): Promise<PeerResponse[]> => {
        const responses = await Promise.all(
            peers.map(async peer => ({ peer, response: await exchange.requestVersion(peer) })),
        );
        return responses.flatMap(({ peer, response }) => response.isOk() ? [{ peer, ...response.value }] : []);
    };
    const fetchNewer = async (responses: readonly PeerResponse[]): Promise<void> => {
        const newest = responses.reduce((best, response) => response.version > best.version ? response : best);
        const fetched = await exchange.fetch(newest.peer, undefined);
        if (fetched.isOk() && fetched.value) {
            const received = fetched.value;
            store.parse(received).map(parsed => offer(parsed, received));
        }
    };
    /** Whether enough VMs responded in a round. A VM that reports version 0 is starting, like this one. */
    const hasQuorum = (vms: readonly core.VmId[], responses: readonly PeerResponse[]): boolean => {
        const nowMs = clock.nowMs();
        const quorum = options.quorumOf(vms.length);
        const runningCount = responses.filter(response => response.version > 0).length;
        const respondedCount = responses.length + (vms.includes(self) ? 1 : 0);
        quorumSinceMs = respondedCount >= quorum ? quorumSinceMs ?? nowMs : undefined;
        const hasWaited = quorumSinceMs !== undefined && nowMs - quorumSinceMs >= constants.startingQuorumWaitMs;
        return runningCount >= quorum || respondedCount === vms.length || hasWaited;
    };
    const runRound = async (): Promise<void> => {
        const candidateBefore = candidate;
        const vms = vmsToCall();
        const responses = await requestVersions(vms.filter(vm => vm !== self));
        if (stopped || store.activeDocument.read()) {
            return;
        }
        if (responses.some(response => response.version > candidateVersion())) {
            await fetchNewer(responses);
        }
        const quorumReached = hasQuorum(vms, responses);
        const unchanged = candidate === candidateBefore;
        // Also false if a newer version was announced but could not be fetched.
        const isNewest = responses.every(response => response.version <= candidateVersion());
        if (!stopped && candidate && unchanged && isNewest && quorumReached) {
            store.activate(candidate.parsed, candidate.received);
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
