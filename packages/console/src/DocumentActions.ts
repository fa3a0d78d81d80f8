import * as documents from "@peridotloft/document";
import { err, ok, type Result } from "neverthrow";

/** A change that an operator makes with a single action. */
export type DocumentAction =
    | { readonly kind: "set-zone-state"; readonly zone: string; readonly state: documents.ServiceState; }
    | { readonly kind: "set-vm-state"; readonly vm: string; readonly state: documents.Vm["state"]; }
    | { readonly kind: "add-key"; readonly id: string; readonly customer: string; readonly sha256: string; }
    | { readonly kind: "withdraw-key"; readonly id: string; };

type Draft = documents.FleetDocumentInput;

/**
 * Applies an action to a copy of a draft. The draft may be invalid.
 *
 * @returns the new draft, or an error if the action refers to an item that does not exist.
 */
export function applyAction(draft: Draft, action: DocumentAction): Result<Draft, documents.DocumentError> {
    switch (action.kind) {
        case "set-zone-state":
            return changeItem(draft.zones, "zones", action.zone, zone => ({ ...zone, state: action.state }))
                .map(zones => ({ ...draft, zones }));
        case "set-vm-state":
            return changeItem(draft.vms, "vms", action.vm, vm => ({ ...vm, state: action.state }))
                .map(vms => ({ ...draft, vms }));
        case "add-key": {
            const { id, customer, sha256 } = action;
            return ok({ ...draft, keys: [...draft.keys ?? [], { id, customer, sha256 }] });
        }
        case "withdraw-key": {
            const keys = draft.keys ?? [];
            return keys.some(key => key.id === action.id)
                ? ok({ ...draft, keys: keys.filter(key => key.id !== action.id) })
                : err(unknownItemError("keys", action.id));
        }
    }
}

function changeItem<T extends { id: string; }>(
    items: readonly T[],
    section: string,
    id: string,
    change: (item: T) => T,
): Result<T[], documents.DocumentError> {
    return items.some(item => item.id === id)
        ? ok(items.map(item => item.id === id ? change(item) : item))
        : err(unknownItemError(section, id));
}

function unknownItemError(section: string, id: string): documents.DocumentError {
    return { path: section, message: `'${id}' does not exist` };
}
