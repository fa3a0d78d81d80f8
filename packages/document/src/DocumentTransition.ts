import type { DocumentError } from "./DocumentValidator.js";
import type { FleetDocument, Vm } from "./FleetDocument.js";

/**
 * Checks whether a document may follow the one that is published now. To be used where documents are submitted.
 *
 * A VM that is added must say so in `joinedVersion`, because it may act only after the VMs that owned its resources
 * have confirmed that version. A VM may be left out only after a version that retired it, because its resources move
 * to other VMs without a confirmation from it.
 *
 * Routers do not apply this check: one that missed some versions would refuse what the others have adopted.
 */
export function checkTransition(before: FleetDocument, after: FleetDocument): DocumentError[] {
    return [...checkVersion(before, after), ...checkAddedVms(before, after), ...checkRemovedVms(before, after)];
}

function checkVersion(before: FleetDocument, after: FleetDocument): DocumentError[] {
    return after.version > before.version
        ? []
        : [{ path: "version", message: `must be higher than the published version ${before.version}` }];
}

function checkAddedVms(before: FleetDocument, after: FleetDocument): DocumentError[] {
    const known = new Map(before.vms.map(vm => [vm.id, vm]));
    return after.vms.flatMap((vm, index) => {
        const message = findJoinFault(known.get(vm.id), vm, before.version);
        return message === undefined ? [] : [{ path: `vms[${index}].joinedVersion`, message }];
    });
}

function findJoinFault(old: Vm | undefined, vm: Vm, publishedVersion: number): string | undefined {
    if (vm.state === "retired") {
        return undefined;
    }
    const joins = !old || old.state === "retired";
    if (joins) {
        return vm.joinedVersion > publishedVersion
            ? undefined
            : `must be higher than the published version ${publishedVersion}, because VM '${vm.id}' is added`;
    }
    return vm.joinedVersion === old.joinedVersion
        ? undefined
        : `must stay ${old.joinedVersion}, because VM '${vm.id}' is already in service`;
}

function checkRemovedVms(before: FleetDocument, after: FleetDocument): DocumentError[] {
    const kept = new Set(after.vms.map(vm => vm.id));
    return before.vms
        .filter(vm => vm.state !== "retired" && !kept.has(vm.id))
        .map(vm => ({
            path: "vms",
            message:
                `VM '${vm.id}' must be published as retired, after its machine was terminated, before it is left out`,
        }));
}
