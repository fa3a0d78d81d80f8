import type { DocumentError } from "./DocumentValidator.js";
import type { FleetDocument, Vm } from "./FleetDocument.js";

/**
 * Checks whether a document is a valid successor of the published one. For the services that accept submitted documents.
 *
 * The `joinedVersion` of an added VM must be higher than the published version, because the VM may use its resources
 * only after their previous owners have confirmed that version. A VM may be removed only after a version in which it is
 * retired, because its resources move to other VMs without its confirmation.
 *
 * Routers do not apply this check: a router that missed some versions would reject a version that the others accepted.
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
    const previousVms = new Map(before.vms.map(vm => [vm.id, vm]));
    return after.vms.flatMap((vm, index) => {
        const message = checkJoinedVersion(previousVms.get(vm.id), vm, before.version);
        return message === undefined ? [] : [{ path: `vms[${index}].joinedVersion`, message }];
    });
}

function checkJoinedVersion(previous: Vm | undefined, vm: Vm, publishedVersion: number): string | undefined {
    if (vm.state === "retired") {
        return undefined;
    }
    const isJoining = !previous || previous.state === "retired";
    if (isJoining) {
        return vm.joinedVersion > publishedVersion
            ? undefined
            : `must be higher than the published version ${publishedVersion}, because VM '${vm.id}' is added`;
    }
    return vm.joinedVersion === previous.joinedVersion
        ? undefined
        : `must stay ${previous.joinedVersion}, because VM '${vm.id}' is already in service`;
}

function checkRemovedVms(before: FleetDocument, after: FleetDocument): DocumentError[] {
    const remainingIds = new Set(after.vms.map(vm => vm.id));
    return before.vms
        .filter(vm => vm.state !== "retired" && !remainingIds.has(vm.id))
        .map(vm => ({
            path: "vms",
            message:
                `VM '${vm.id}' must be published as retired, after its machine was terminated, before it is removed`,
        }));
}
