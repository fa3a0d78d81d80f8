import { create, toBinary } from "@bufbuild/protobuf";
import * as core from "@peridotloft/core";
import * as gen from "./gen/scheduling_pb.js";
import type { GossipKeys } from "./GossipKeys.js";
import type { Quarantine } from "./Quarantine.js";
import * as constants from "./SchedulingConstants.js";
import { decode } from "./SchedulingMessages.js";
import type { CustomerTotal, ServiceTotals } from "./ServiceTotals.js";
import type { PhaseState, PhaseTable } from "./UpstreamPhase.js";

// Upper estimates in bytes of one encoded entry.
const totalBytes = 10;
const liftBytes = 7;
const idBytes = 16;
const stateBytes = 8;
const suspectBytes = 64 + idBytes;
/** Tags and lengths of the packed lists, and the digest. */
const framingBytes = 27;
// The digest of the names, with its tag.
const digestBytes = 5;

export interface PoolHint {
    readonly pool: core.PoolId;
    readonly free: number;
}

export interface SchedulingSectionOptions {
    readonly clock: core.Clock;
    readonly totals: ServiceTotals;
    readonly phases: PhaseTable;
    readonly quarantine: Quarantine;
    readonly keys: () => GossipKeys;
    readonly hints: () => readonly PoolHint[];
    readonly onState: (state: PhaseState) => void;
    /** Called when a peer may have missed earlier messages. */
    readonly onReadable: () => void;
    /** Called before anything of a message is applied. */
    readonly onMessage: (from: core.VmId) => void;
    readonly onHint: (from: core.VmId, pool: core.PoolId, free: number) => void;
}

export const totalFrom = (message: gen.CustomerTotal): CustomerTotal => ({
    pool: core.poolId(message.pool),
    customer: core.customerId(message.customer),
    settled: message.settled,
    pending: message.pending,
    lift: message.lift,
    waiting: message.waiting,
});

export const stateFrom = (message: gen.UpstreamState): PhaseState => ({
    upstream: core.upstreamId(message.upstream),
    epoch: message.epoch,
    usableSlots: message.usableSlots,
    coldEpoch: message.coldEpoch,
});

/** Picks the hints that changed between none and some, and repeats all of them once a second. */
function createHintNews(clock: core.Clock, hints: () => readonly PoolHint[]): () => PoolHint[] {
    const told = new Map<core.PoolId, { readonly free: number; readonly atMs: number; }>();
    return () => {
        const nowMs = clock.nowMs();
        const news = hints().filter(({ pool, free }) => {
            const last = told.get(pool);
            return !last || Math.sign(last.free) !== Math.sign(free) || nowMs - last.atMs >= constants.hintRefreshMs;
        });
        news.forEach(({ pool, free }) => told.set(pool, { free, atMs: nowMs }));
        return news;
    };
}

// Totals travel in eighths, so that a cheap request of a customer with a large weight still counts.
const fractions = 8;
const encodeAmount = (value: number): number => Math.max(0, Math.round(value * fractions));
const decodeAmount = (value: bigint | number | undefined): number => Number(value ?? 0) / fractions;

/** What the scheduler exchanges by gossip: suspects and upstream states first, then service totals. */
export function createSchedulingSection(options: SchedulingSectionOptions): core.GossipSection {
    const { totals, phases, quarantine, keys, onState, onHint } = options;
    /** Peers that hold a document with other names; they could not read what this VM said either. */
    const unreadable = new Set<core.VmId>();
    const hintNews = createHintNews(options.clock, options.hints);

    const encodeTotals = (section: gen.SchedulingSection, limitBytes: number): void => {
        let leftBytes = limitBytes;
        totals.takeLifts(Math.max(0, Math.floor(leftBytes / 2 / liftBytes))).forEach(({ pool, customer, lift }) => {
            const key = keys().keyOfTotal(pool, customer);
            if (key !== undefined) {
                section.liftKeys.push(key);
                section.lifts.push(BigInt(encodeAmount(lift)));
                leftBytes -= liftBytes;
            }
        });
        totals.takeNews(Math.max(0, Math.floor(leftBytes / totalBytes))).forEach(total => {
            const key = keys().keyOfTotal(total.pool, total.customer);
            if (key !== undefined) {
                section.keys.push(key);
                section.settled.push(BigInt(encodeAmount(total.settled)));
                section.pendingAndWaiting.push(encodeAmount(total.pending) * 2 + Math.sign(total.waiting));
            }
        });
    };

    const encodeStates = (section: gen.SchedulingSection, states: readonly PhaseState[]): void =>
        states.forEach(({ upstream, epoch, usableSlots, coldEpoch }) => {
            const key = keys().keyOfUpstream(upstream);
            if (key !== undefined) {
                section.stateKeys.push(key);
                section.epochs.push(epoch);
                section.usableSlots.push(usableSlots);
                section.coldEpochs.push(coldEpoch);
            }
        });

    const applyStates = (section: gen.SchedulingSection): void =>
        section.stateKeys.forEach((key, index) => {
            const upstream = keys().findUpstream(key);
            const { epochs, usableSlots, coldEpochs } = section;
            if (upstream && epochs[index] !== undefined) {
                onState({
                    upstream,
                    epoch: epochs[index],
                    usableSlots: usableSlots[index] ?? 0,
                    coldEpoch: coldEpochs[index] ?? 0,
                });
            }
        });

    const applyTotals = (from: core.VmId, incarnation: number, section: gen.SchedulingSection): void => {
        section.liftKeys.forEach((key, index) => {
            const name = keys().findTotal(key);
            if (name) {
                totals.applyLift(name.pool, name.customer, decodeAmount(section.lifts[index]));
            }
        });
        section.keys.forEach((key, index) => {
            const name = keys().findTotal(key);
            const packed = section.pendingAndWaiting[index] ?? 0;
            if (name) {
                const settled = decodeAmount(section.settled[index]);
                const waiting = packed % 2;
                totals.apply(from, incarnation, {
                    ...name,
                    settled,
                    pending: decodeAmount((packed - waiting) / 2),
                    lift: 0,
                    waiting,
                });
            }
        });
    };

    return {
        name: constants.sliceName,
        routineBytes: digestBytes,
        encode(limitBytes) {
            let leftBytes = limitBytes - framingBytes;
            const take = <T>(entryBytes: number, source: (limit: number) => readonly T[]): readonly T[] => {
                const taken = source(Math.max(0, Math.floor(leftBytes / entryBytes)));
                leftBytes -= taken.length * entryBytes;
                return taken;
            };
            const suspects = take(suspectBytes, quarantine.takeNews);
            const states = take(stateBytes, limit => phases.takeNews(Math.ceil(limit / 2)));
            const hints = leftBytes < 4 * idBytes ? [] : take(idBytes, hintNews);
            const section = create(gen.SchedulingSectionSchema, {
                suspects: suspects.map(suspect => create(gen.SuspectSchema, suspect)),
                hints: hints.map(hint => create(gen.PoolHintSchema, hint)),
                namesDigest: keys().digest,
            });
            encodeStates(section, states);
            encodeTotals(section, leftBytes);
            const payload = toBinary(gen.SchedulingSectionSchema, section);
            return payload.length <= limitBytes ? payload : new Uint8Array();
        },
        apply(from, incarnation, payload) {
            options.onMessage(from);
            decode(gen.SchedulingSectionSchema, payload).map(section => {
                const isReadable = section.namesDigest === keys().digest;
                if (isReadable && unreadable.delete(from)) {
                    options.onReadable();
                }
                if (isReadable) {
                    applyTotals(from, incarnation, section);
                    applyStates(section);
                }
                else {
                    unreadable.add(from);
                }
                section.suspects.forEach(({ fingerprint, upstream, ageMs }) =>
                    quarantine.note({ fingerprint, upstream: core.upstreamId(upstream), ageMs })
                );
                section.hints.forEach(hint => onHint(from, core.poolId(hint.pool), hint.free));
            });
        },
    };
}
