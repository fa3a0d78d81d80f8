import { create } from "@bufbuild/protobuf";
import * as core from "@peridotloft/core";
import * as gen from "./gen/scheduling_pb.js";
import * as constants from "./SchedulingConstants.js";
import { decode, type MessageSender } from "./SchedulingMessages.js";
import { stateFrom, totalFrom } from "./SchedulingSection.js";
import type { ServiceTotals } from "./ServiceTotals.js";
import type { SlotRecovery } from "./SlotRecovery.js";
import type { PhaseState } from "./UpstreamPhase.js";

/** Asks other VMs which slots they hold, and learns upstream states and service totals from their answers. */
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
    let nextMs = 0;
    let isFirst = true;

    const learn = (from: core.VmId, answer: gen.HeldAnswer): void => {
        answer.upstreams.forEach(state => options.onState(stateFrom(state)));
        answer.totals.forEach(message => {
            const total = totalFrom(message);
            totals.apply(from, answer.incarnation, total);
            const key = `${total.pool}/${total.customer}`;
            const settled = Math.max(fleetTotals.get(key)?.settled ?? 0, message.fleetSettled);
            fleetTotals.set(key, { pool: total.pool, customer: total.customer, settled });
        });
    };

    /** Only the first recovery follows a restart; later ones happen with the totals in memory. */
    const finishFirst = (): void => {
        isFirst = false;
        fleetTotals.forEach(({ pool, customer, settled }) => totals.adoptFleet(pool, customer, settled));
        fleetTotals.clear();
    };

    const ask = async (peer: core.VmId): Promise<void> => {
        const asked = recovery.open();
        const result = await sender.call(peer, { case: "held", value: create(gen.HeldQuerySchema) });
        const answer = result.mapErr(error => error.message)
            .andThen(payload => decode(gen.HeldAnswerSchema, payload));
        answer.map(({ slots }) => {
            recovery.noteAnswer(
                peer,
                asked,
                slots.map(slot => ({
                    upstream: core.upstreamId(slot.upstream),
                    index: slot.slot,
                    remainingMs: slot.remainingMs,
                })),
            );
        });
        if (answer.isOk() && isFirst) {
            learn(peer, answer.value);
        }
        options.onProgress();
    };

    return {
        tick() {
            if (recovery.isDone) {
                if (isFirst) {
                    finishFirst();
                }
                return;
            }
            const nowMs = clock.nowMs();
            if (nowMs >= nextMs) {
                nextMs = nowMs + constants.heldQueryPeriodMs;
                recovery.toAsk().forEach(peer => void ask(peer));
            }
        },
    };
}
