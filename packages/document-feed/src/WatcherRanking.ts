import type * as core from "@peridotloft/core";
import type * as documents from "@peridotloft/document";
import * as membership from "@peridotloft/membership";
import { createHash } from "node:crypto";
import * as constants from "./PlatformConstants.js";
import type { PlatformRole } from "./PlatformReader.js";

/**
 * Whether this VM is one of the watchers of its availability zone: the first {@link constants.watchersPerZone} by
 * rendezvous hash among the zone's VMs, without those of `avoided`. In fleets of more than
 * {@link membership.maxFullGossipVms} VMs the first {@link constants.fullWatchers} of the whole fleet are watchers, and the
 * others stand by.
 *
 * A VM never avoids itself. So views that differ can only add watchers, and the first ones always watch.
 */
export function watchingRoleOf(
    document: documents.FleetDocument,
    self: core.VmId,
    avoided: ReadonlySet<core.VmId>,
): PlatformRole {
    const zone = document.vms.find(vm => vm.id === self)?.zone;
    const ownScore = scoreOf(self);
    const vms = document.vms.filter(vm => vm.state !== "retired");
    const ahead = vms.filter(vm => vm.id !== self && !avoided.has(vm.id) && scoreOf(vm.id) > ownScore);
    if (zone === undefined || ahead.filter(vm => vm.zone === zone).length >= constants.watchersPerZone) {
        return "reader";
    }
    return vms.length <= membership.maxFullGossipVms || ahead.length < constants.fullWatchers ? "watcher" : "standby";
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
