import { create } from "@bufbuild/protobuf";
import * as core from "@peridotloft/core";
import * as gen from "./gen/scheduling_pb.js";
import * as constants from "./SchedulingConstants.js";
import { decode, type MessageSender } from "./SchedulingMessages.js";
import { stateFrom, totalFrom } from "./SchedulingSection.js";
import type { ServiceTotals } from "./ServiceTotals.js";
import type { SlotRecovery } from "./SlotRecovery.js";
import type { PhaseState } from "./UpstreamPhase.js";

/**
 * Queries other VMs for the slots that they hold. After a restart it also takes upstream states and service totals from
 * their replies.
 */
export interface RecoveryDriver {
    tick(): void;
}

export interface RecoveryDriverOptions {
    readonly clock: core.Clock;
    readonly sender: MessageSender;
    readonly recovery: SlotRecovery;
    readonly totals: ServiceTotals;
    readonly onState: (state: PhaseState) => void;
    readonly onProgress: () => void;
}

interface FleetTotal {
    readonly pool: core.PoolId;
    readonly customer: core.CustomerId;
    readonly settled: number;
}

export function createRecoveryDriver(options: RecoveryDriverOptions): RecoveryDriver {
    const { clock, sender, recovery, totals } = options;
    const fleetTotals = new Map<string, FleetTotal>();
    let nextQueryMs = 0;
    let isInitialRecovery = true;

    const applyReply = (from: core.VmId, reply: gen.HeldAnswer): void => {
        reply.upstreams.forEach(state => options.onState(stateFrom(state)));
        reply.totals.forEach(message => {
            const total = totalFrom(message);
            totals.apply(from, reply.incarnation, total);
            const key = `${total.pool}/${total.customer}`;
            const settled = Math.max(fleetTotals.get(key)?.settled ?? 0, message.fleetSettled);
            fleetTotals.set(key, { pool: total.pool, customer: total.customer, settled });
        });
    };

    /** Only the first recovery follows a restart; before later ones, this VM already has the totals in memory. */
    const finishInitialRecovery = (): void => {
        isInitialRecovery = false;
        fleetTotals.forEach(({ pool, customer, settled }) => totals.adoptFleetService(pool, customer, settled));
        fleetTotals.clear();
    };

    const queryPeer = async (peer: core.VmId): Promise<void> => {
        const queriedSlots = recovery.unrecoveredSlots();
        const result = await sender.call(peer, { case: "held", value: create(gen.HeldQuerySchema) });
        const reply = result.mapErr(error => error.message)
            .andThen(payload => decode(gen.HeldAnswerSchema, payload));
        reply.map(({ slots }) => {
            recovery.recordReply(
                peer,
                queriedSlots,
                slots.map(slot => ({
                    upstream: core.upstreamId(slot.upstream),
                    index: slot.slot,
                    remainingMs: slot.remainingMs,
                })),
            );
        });
        if (reply.isOk() && isInitialRecovery) {
            applyReply(peer, reply.value);
        }
        options.onProgress();
    };

    return {
        tick() {
            if (recovery.isDone) {
                if (isInitialRecovery) {
                    finishInitialRecovery();
                }
                return;
            }
            const nowMs = clock.nowMs();
            if (nowMs >= nextQueryMs) {
                nextQueryMs = nowMs + constants.heldQueryPeriodMs;
                recovery.peersToQuery().forEach(peer => void queryPeer(peer));
            }
        },
    };
}
