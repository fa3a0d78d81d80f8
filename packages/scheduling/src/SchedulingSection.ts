import { create, toBinary } from "@bufbuild/protobuf";
import * as core from "@peridotloft/core";
import * as gen from "./gen/scheduling_pb.js";
import type { Quarantine } from "./Quarantine.js";
import * as constants from "./SchedulingConstants.js";
import { decode } from "./SchedulingMessages.js";
import type { CustomerTotal, ServiceTotals } from "./ServiceTotals.js";
import type { TotalKeys } from "./TotalKeys.js";
import type { PhaseState, PhaseTable } from "./UpstreamPhase.js";

// Upper estimates in bytes of one encoded entry.
const totalBytes = 14;
const liftBytes = 10;
const idBytes = 16;
const stateBytes = 16 + idBytes;
const suspectBytes = 64 + idBytes;
/** Tags and lengths of the packed lists. */
const framingBytes = 16;

export interface PoolHint {
    readonly pool: core.PoolId;
    readonly free: number;
}

export interface SchedulingSectionOptions {
    readonly clock: core.Clock;
    readonly totals: ServiceTotals;
    readonly phases: PhaseTable;
    readonly quarantine: Quarantine;
    readonly keys: () => TotalKeys;
    readonly hints: () => readonly PoolHint[];
    readonly onState: (state: PhaseState) => void;
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

// Totals travel in sixteenths, so that a cheap request of a customer with a large weight still counts.
const fractions = 16;
const encodeAmount = (value: number): number => Math.max(0, Math.round(value * fractions));
const decodeAmount = (value: bigint | number | undefined): number => Number(value ?? 0) / fractions;

/** What the scheduler exchanges by gossip: suspects and upstream states first, then service totals. */
export function createSchedulingSection(options: SchedulingSectionOptions): core.GossipSection {
    const { totals, phases, quarantine, keys, onState, onHint } = options;
    const hintNews = createHintNews(options.clock, options.hints);

    const encodeTotals = (section: gen.SchedulingSection, limitBytes: number): void => {
        let leftBytes = limitBytes;
        totals.takeLifts(Math.max(0, Math.floor(leftBytes / 2 / liftBytes))).forEach(({ pool, customer, lift }) => {
            const key = keys().keyOf(pool, customer);
            if (key !== undefined) {
                section.liftKeys.push(key);
                section.lifts.push(BigInt(encodeAmount(lift)));
                leftBytes -= liftBytes;
            }
        });
        totals.takeNews(Math.max(0, Math.floor(leftBytes / totalBytes))).forEach(total => {
            const key = keys().keyOf(total.pool, total.customer);
            if (key !== undefined) {
                section.keys.push(key);
                section.settled.push(BigInt(encodeAmount(total.settled)));
                section.pendingAndWaiting.push(encodeAmount(total.pending) * 2 + Math.sign(total.waiting));
            }
        });
    };

    const applyTotals = (from: core.VmId, incarnation: number, section: gen.SchedulingSection): void => {
        section.liftKeys.forEach((key, index) => {
            const name = keys().find(key);
            if (name) {
                totals.applyLift(name.pool, name.customer, decodeAmount(section.lifts[index]));
            }
        });
        section.keys.forEach((key, index) => {
            const name = keys().find(key);
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
        encode(limitBytes) {
            let leftBytes = limitBytes - framingBytes;
            const take = <T>(entryBytes: number, source: (limit: number) => readonly T[]): readonly T[] => {
                const taken = source(Math.max(0, Math.floor(leftBytes / entryBytes)));
                leftBytes -= taken.length * entryBytes;
                return taken;
            };
            const suspects = take(suspectBytes, quarantine.takeNews);
            const states = take(stateBytes, phases.takeNews);
            const hints = leftBytes < 4 * idBytes ? [] : take(idBytes, hintNews);
            const section = create(gen.SchedulingSectionSchema, {
                suspects: suspects.map(suspect => create(gen.SuspectSchema, suspect)),
                upstreams: states.map(state => create(gen.UpstreamStateSchema, state)),
                hints: hints.map(hint => create(gen.PoolHintSchema, hint)),
            });
            encodeTotals(section, leftBytes);
            const payload = toBinary(gen.SchedulingSectionSchema, section);
            return payload.length <= limitBytes ? payload : new Uint8Array();
        },
        apply(from, incarnation, payload) {
            options.onMessage(from);
            decode(gen.SchedulingSectionSchema, payload).map(section => {
                applyTotals(from, incarnation, section);
                section.upstreams.forEach(state => onState(stateFrom(state)));
                section.suspects.forEach(({ fingerprint, upstream, ageMs }) =>
                    quarantine.note({ fingerprint, upstream: core.upstreamId(upstream), ageMs })
                );
                section.hints.forEach(hint => onHint(from, core.poolId(hint.pool), hint.free));
            });
        },
    };
}
