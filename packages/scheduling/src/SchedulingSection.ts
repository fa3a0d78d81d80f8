import { create, toBinary } from "@bufbuild/protobuf";
import * as core from "@peridotloft/core";
import * as gen from "./gen/scheduling_pb.js";
import type { GossipKeys } from "./GossipKeys.js";
import type { Quarantine } from "./Quarantine.js";
import * as constants from "./SchedulingConstants.js";
import { decode } from "./SchedulingMessages.js";
import type { CustomerTotal, ServiceTotals } from "./ServiceTotals.js";
import type { PhaseState, PhaseTable } from "./UpstreamPhase.js";

// Upper bounds in bytes of one encoded entry.
const totalBytes = 10;
const liftBytes = 7;
const idBytes = 16;
const stateBytes = 8;
const suspectBytes = 64 + idBytes;
// Tags and lengths of the packed lists, and the digest.
const framingBytes = 27;
// Digest of the names with its tag.
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
    /** Called when a peer's names match again. Until then it ignored this VM's totals and states, so they are sent again. */
    readonly onNamesMatch: () => void;
    /** Called for each message, before any part of it is applied. */
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

/** Selects the hints that changed between zero and more free slots, and each unchanged hint once a second. */
function createHintUpdates(clock: core.Clock, hints: () => readonly PoolHint[]): () => PoolHint[] {
    const lastSent = new Map<core.PoolId, { readonly free: number; readonly atMs: number; }>();
    return () => {
        const nowMs = clock.nowMs();
        const changed = hints().filter(({ pool, free }) => {
            const last = lastSent.get(pool);
            return !last || Math.sign(last.free) !== Math.sign(free)
                || nowMs - last.atMs >= constants.hintRefreshPeriodMs;
        });
        changed.forEach(({ pool, free }) => lastSent.set(pool, { free, atMs: nowMs }));
        return changed;
    };
}

// Amounts are sent in eighths of a cost unit, so that a cheap request of a customer with a large weight is not rounded to 0.
const unitsPerCost = 8;
const encodeAmount = (value: number): number => Math.max(0, Math.round(value * unitsPerCost));
const decodeAmount = (value: bigint | number | undefined): number => Number(value ?? 0) / unitsPerCost;

/** Gossip section of the scheduler: suspects and upstream states first, then service totals in the remaining bytes. */
export function createSchedulingSection(options: SchedulingSectionOptions): core.GossipSection {
    const { totals, phases, quarantine, keys, onState, onHint } = options;
    /** Peers whose document names other customers or upstreams. Totals and states are ignored in both directions. */
    const mismatchedPeers = new Set<core.VmId>();
    const hintUpdates = createHintUpdates(options.clock, options.hints);

    const encodeTotals = (section: gen.SchedulingSection, limitBytes: number): void => {
        let remainingBytes = limitBytes;
        totals.takeLiftUpdates(Math.max(0, Math.floor(remainingBytes / 2 / liftBytes))).forEach(
            ({ pool, customer, lift }) => {
                const key = keys().keyOfTotal(pool, customer);
                if (key !== undefined) {
                    section.liftKeys.push(key);
                    section.lifts.push(BigInt(encodeAmount(lift)));
                    remainingBytes -= liftBytes;
                }
            },
        );
        totals.takeUpdates(Math.max(0, Math.floor(remainingBytes / totalBytes))).forEach(total => {
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
            let remainingBytes = limitBytes - framingBytes;
            const take = <T>(entryBytes: number, source: (limit: number) => readonly T[]): readonly T[] => {
                const taken = source(Math.max(0, Math.floor(remainingBytes / entryBytes)));
                remainingBytes -= taken.length * entryBytes;
                return taken;
            };
            const suspects = take(suspectBytes, quarantine.takeReports);
            const states = take(stateBytes, limit => phases.takeUpdates(Math.ceil(limit / 2)));
            const hints = remainingBytes < 4 * idBytes ? [] : take(idBytes, hintUpdates);
            const section = create(gen.SchedulingSectionSchema, {
                suspects: suspects.map(suspect => create(gen.SuspectSchema, suspect)),
                hints: hints.map(hint => create(gen.PoolHintSchema, hint)),
                namesDigest: keys().digest,
            });
            encodeStates(section, states);
            encodeTotals(section, remainingBytes);
            const payload = toBinary(gen.SchedulingSectionSchema, section);
            return payload.length <= limitBytes ? payload : new Uint8Array();
        },
        apply(from, incarnation, payload) {
            options.onMessage(from);
            decode(gen.SchedulingSectionSchema, payload).map(section => {
                const namesMatch = section.namesDigest === keys().digest;
                if (namesMatch && mismatchedPeers.delete(from)) {
                    options.onNamesMatch();
                }
                if (namesMatch) {
                    applyTotals(from, incarnation, section);
                    applyStates(section);
                }
                else {
                    mismatchedPeers.add(from);
                }
                section.suspects.forEach(({ fingerprint, upstream, ageMs }) =>
                    quarantine.recordCrash({ fingerprint, upstream: core.upstreamId(upstream), ageMs })
                );
                section.hints.forEach(hint => onHint(from, core.poolId(hint.pool), hint.free));
            });
        },
    };
}
