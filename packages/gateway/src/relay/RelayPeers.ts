import type * as core from "@peridotloft/core";
import type { RelayAnswer } from "./RelayMessages.js";
import { connectionCores } from "./RelayRoom.js";

/** What another VM announced last about its room for relayed connections. */
export interface RelayPeerLoad {
    readonly address: string;
    readonly isSameZone: boolean;
    /** Processor time in cores that it can spare for connections of other VMs; 0 if it takes none. */
    readonly spareCores: number;
    readonly ageMs: number;
}

/** Chooses the VMs of this zone to which connections are passed on. */
export interface RelayPeers {
    /** Chooses a VM with room, other than those that were tried for the connection before; undefined if there is none. */
    choose(tried: readonly string[]): string | undefined;
    /** Number of VMs with room. */
    withRoom(): number;
    /** Records that a VM was asked to serve a connection. */
    recordAsked(address: string): void;
    /** Records its answer; undefined if it did not answer or could not be reached. */
    recordAnswer(address: string, answer: RelayAnswer | undefined): void;
}

export interface RelayPeersOptions {
    readonly clock: core.Clock;
    readonly random: core.Random;
    readonly peerLoads: () => readonly RelayPeerLoad[];
}

/** Age in ms up to which an announcement counts: those of a large fleet reach a VM every few seconds. */
const maxAgeMs = 5_000;
/** Time in ms for which a VM without room, or one that does not answer, is left out. */
const refusedPauseMs = 500;
const silentPauseMs = 2_000;
/** Room in cores for which a VM is asked again whose last answer stated none. */
const minAskedCores = connectionCores / 2;
/** Connections that may wait for the answer of one VM. */
const maxUnanswered = 8;
/** Interval in ms at which the announcements are read: there are many connections and VMs. */
const planIntervalMs = 50;

/** What this VM knows of a peer from its own questions. */
interface Experience {
    unanswered: number;
    answeredMs: number;
    spareCores: number;
    leftOutUntilMs: number;
}

interface Candidate {
    readonly address: string;
    readonly spareCores: number;
}

export function createRelayPeers({ clock, random, peerLoads }: RelayPeersOptions): RelayPeers {
    const experiences = new Map<string, Experience>();
    let announced: readonly (RelayPeerLoad & { readonly announcedMs: number; })[] = [];
    let plannedMs = Number.NEGATIVE_INFINITY;

    function experienceOf(address: string): Experience {
        const experience = experiences.get(address) ?? {
            unanswered: 0,
            answeredMs: Number.NEGATIVE_INFINITY,
            spareCores: 0,
            leftOutUntilMs: Number.NEGATIVE_INFINITY,
        };
        experiences.set(address, experience);
        return experience;
    }

    function readAnnouncements(): void {
        const nowMs = clock.nowMs();
        if (nowMs - plannedMs < planIntervalMs) {
            return;
        }
        plannedMs = nowMs;
        announced = peerLoads()
            .filter(({ isSameZone, ageMs }) => isSameZone && ageMs <= maxAgeMs)
            .map(load => ({ ...load, announcedMs: nowMs - load.ageMs }));
        const known = new Set(announced.map(({ address }) => address));
        experiences.forEach(({ unanswered }, address) => {
            if (unanswered === 0 && !known.has(address)) {
                experiences.delete(address);
            }
        });
    }

    function candidates(): readonly Candidate[] {
        readAnnouncements();
        const nowMs = clock.nowMs();
        return announced.flatMap(({ address, spareCores, announcedMs }) => {
            const experience = experiences.get(address);
            if (!experience) {
                return spareCores > 0 ? [{ address, spareCores }] : [];
            }
            const { unanswered, answeredMs, leftOutUntilMs } = experience;
            const latest = answeredMs > announcedMs ? answeredSpareCores(experience) : spareCores;
            const remaining = latest - unanswered * connectionCores;
            const isUsable = remaining > 0 && unanswered < maxUnanswered && nowMs >= leftOutUntilMs;
            return isUsable ? [{ address, spareCores: remaining }] : [];
        });
    }

    /** After a pause, a VM without room is asked again for one connection: its announcements may be seconds apart. */
    function answeredSpareCores({ answeredMs, spareCores }: Experience): number {
        return clock.nowMs() - answeredMs < refusedPauseMs ? spareCores : Math.max(spareCores, minAskedCores);
    }

    return {
        choose(tried) {
            const usable = candidates().filter(({ address }) => !tried.includes(address));
            const first = drawByRoom(usable, random);
            const second = drawByRoom(usable, random);
            return first && second && (first.spareCores >= second.spareCores ? first : second).address;
        },
        withRoom: () => candidates().length,
        recordAsked(address) {
            experienceOf(address).unanswered++;
        },
        recordAnswer(address, answer) {
            const experience = experienceOf(address);
            experience.unanswered--;
            if (!answer) {
                experience.leftOutUntilMs = clock.nowMs() + silentPauseMs;
                return;
            }
            experience.answeredMs = clock.nowMs();
            experience.spareCores = answer.spareCores;
            if (!answer.isAccepted) {
                experience.leftOutUntilMs = clock.nowMs() + refusedPauseMs;
            }
        },
    };
}

/** Draws a candidate with a probability in proportion to its room. */
function drawByRoom(usable: readonly Candidate[], random: core.Random): Candidate | undefined {
    let remaining = random() * usable.reduce((sum, { spareCores }) => sum + spareCores, 0);
    return usable.find(({ spareCores }) => {
        remaining -= spareCores;
        return remaining < 0;
    }) ?? usable.at(-1);
}
