import type * as core from "@peridotloft/core";
import type * as documents from "@peridotloft/document";
import { createHash } from "node:crypto";
import * as constants from "./PlatformConstants.js";

/**
 * Whether this VM is one of the watchers of its availability zone: the first {@link constants.watchersPerZone} by
 * rendezvous hash among the zone's VMs, without those of `avoided`.
 *
 * A VM never avoids itself. So views that differ can only add watchers, and the first ones always watch.
 */
export function isWatcher(
    document: documents.FleetDocument,
    self: core.VmId,
    avoided: ReadonlySet<core.VmId>,
): boolean {
    const zone = document.vms.find(vm => vm.id === self)?.zone;
    const ownScore = scoreOf(self);
    const ahead = document.vms.filter(vm =>
        vm.zone === zone && vm.state !== "retired" && vm.id !== self && !avoided.has(vm.id)
        && scoreOf(vm.id) > ownScore
    );
    return zone !== undefined && ahead.length < constants.watchersPerZone;
}

const scores = new Map<string, number>();

function scoreOf(id: string): number {
    const known = scores.get(id);
    if (known !== undefined) {
        return known;
    }
    const score = createHash("sha256").update(`watcher\n${id}`).digest().readUIntBE(0, 6);
    scores.set(id, score);
    return score;
}
