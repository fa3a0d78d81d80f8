import type * as core from "@peridotloft/core";
import type * as documents from "@peridotloft/document";
import * as membership from "@peridotloft/membership";
import { createHash } from "node:crypto";
import * as constants from "./PlatformConstants.js";
import type { PlatformRole } from "./PlatformReader.js";

/**
 * Selects the role of this VM. The first {@link constants.watchersPerZone} VMs of its availability zone in rendezvous
 * hash order, without those in `excluded`, watch the configuration service; the others are readers. In fleets of more
 * VMs than the limit for full gossip, only the first {@link constants.fullWatchers} of the whole fleet are watchers, and
 * the others that would watch are standbys.
 *
 * A VM never excludes itself. So differing views can only add watchers, and the highest-ranked VMs always watch.
 */
export function platformRoleOf(
    document: documents.FleetDocument,
    self: core.VmId,
    excluded: ReadonlySet<core.VmId>,
): PlatformRole {
    const zone = document.vms.find(vm => vm.id === self)?.zone;
    const ownScore = scoreOf(self);
    const vms = document.vms.filter(vm => vm.state !== "retired");
    const higherRanked = vms.filter(vm => vm.id !== self && !excluded.has(vm.id) && scoreOf(vm.id) > ownScore);
    if (zone === undefined || higherRanked.filter(vm => vm.zone === zone).length >= constants.watchersPerZone) {
        return "reader";
    }
    return vms.length <= membership.maxFullGossipVms || higherRanked.length < constants.fullWatchers
        ? "watcher"
        : "standby";
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
