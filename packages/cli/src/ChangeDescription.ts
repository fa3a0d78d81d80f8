import * as documents from "@peridotloft/document";

type Fleet = documents.FleetDocument;
type Change = documents.DocumentChange;
type FieldChange = documents.FieldChange;

/** Describes the changes of a new version of the document and who is affected, in one text per change. */
export function describeChanges(before: Fleet, after: Fleet): string[] {
    return documents.diffDocuments(before, after).map(change => describe(change, before, after));
}

function describe(change: Change, before: Fleet, after: Fleet): string {
    switch (change.section) {
        case "zones":
            return describeZone(change, before, after);
        case "vms":
            return describeVm(change, after);
        case "customers":
            return describeCustomer(change, before, after);
        case "keys":
            return describeKey(change, before, after);
        case "upstreams":
            return describeUpstream(change, before, after);
        case "routes":
            return describeItem("Route", change, "callers of the route", after.routes);
        case "pools":
            return describeItem("Pool", change, `customers of ${modelsOf(change.id, before, after)}`, after.pools);
        default:
            return `Fleet: ${formatFields(change.fields)}. Affects all customers.`;
    }
}

function describeZone(change: Change, before: Fleet, after: Fleet): string {
    const fleet = change.kind === "removed" ? before : after;
    const upstreams = upstreamsOf(fleet).filter(({ zone }) => zone === change.id).map(({ id }) => id);
    const vms = fleet.vms.filter(({ zone, state }) => zone === change.id && state !== "retired").map(({ id }) => id);
    const affected = `Affects ${formatList("upstream", upstreams)} and ${formatList("VM", vms)}.`;
    const title = `Availability zone ${change.id}`;
    if (change.kind !== "changed") {
        return `${title} is ${change.kind}. ${affected}`;
    }
    const state = change.fields.find(({ field }) => field === "state");
    const effect = state ? ` ${describeStateEffect(state.after)}` : "";
    return `${title}: ${formatFields(change.fields)}.${effect} ${affected}`;
}

function describeStateEffect(state: unknown): string {
    return state === "in-service" ? "Its upstreams take new work and ramp." : "Its upstreams get no new work.";
}

function describeVm(change: Change, after: Fleet): string {
    const title = `VM ${change.id}`;
    if (change.kind === "added") {
        return `${title} is added. Some shares of every customer move to it, when their owners have confirmed the version.`;
    }
    if (change.kind === "removed") {
        return `${title} is removed from the list.`;
    }
    const retired = after.vms.some(({ id, state }) => id === change.id && state === "retired");
    const effect = retired ? " Its shares move to other VMs after a wait; its machine must have been terminated." : "";
    return `${title}: ${formatFields(change.fields)}.${effect}`;
}

function describeCustomer(change: Change, before: Fleet, after: Fleet): string {
    const title = `Customer ${change.id}`;
    if (change.kind === "changed") {
        return `${title}: ${formatFields(change.fields)}.`;
    }
    const fleet = change.kind === "removed" ? before : after;
    const customer = fleet.customers.find(({ id }) => id === change.id);
    const keys = fleet.keys.filter(key => key.customer === change.id).map(({ id }) => id);
    const rate = `rate ${customer?.rateCostPerS} cost/s, burst ${customer?.burstCost} cost`;
    return `${title} is ${change.kind} (${rate}, ${formatList("key", keys)}).`;
}

function describeKey(change: Change, before: Fleet, after: Fleet): string {
    const fleet = change.kind === "removed" ? before : after;
    const customer = fleet.keys.find(({ id }) => id === change.id)?.customer;
    const title = `Key ${change.id} of customer ${customer}`;
    switch (change.kind) {
        case "added":
            return `${title} is added.`;
        case "removed":
            return `${title} is withdrawn: its callers are refused with 401, and their open streams end.`;
        case "changed":
            return `${title} changes: ${formatFields(change.fields)}. Callers with the old key are refused with 401.`;
    }
}

function describeUpstream(change: Change, before: Fleet, after: Fleet): string {
    const upstream = upstreamsOf(change.kind === "removed" ? before : after).find(({ id }) => id === change.id);
    const title = `Upstream ${change.id} of pool ${upstream?.pool}`;
    if (change.kind !== "changed") {
        return `${title} is ${change.kind} (zone ${upstream?.zone}, ${upstream?.slots} slots).`;
    }
    const state = change.fields.find(({ field }) => field === "state");
    const effect = state?.after === "in-service" ? " It takes new work and ramps." : " It gets no new work.";
    return `${title}: ${formatFields(change.fields)}.${state ? effect : ""}`;
}

function describeItem(
    label: string,
    change: Change,
    affectedCallers: string,
    items: readonly { id: string; }[],
): string {
    const affected = items.some(({ id }) => id === change.id)
        ? `Affects ${affectedCallers}.`
        : `${affectedCallers} are refused.`;
    const detail = change.kind === "changed" ? `: ${formatFields(change.fields)}.` : ` is ${change.kind}.`;
    return `${label} ${change.id}${detail} ${capitalize(affected)}`;
}

function modelsOf(pool: string, before: Fleet, after: Fleet): string {
    const models = [...before.pools, ...after.pools].filter(({ id }) => id === pool).flatMap(({ models }) => models);
    return models.length === 0 ? "its routes" : formatList("model", [...new Set(models)]);
}

function upstreamsOf(fleet: Fleet) {
    return fleet.pools.flatMap(pool => pool.upstreams.map(upstream => ({ ...upstream, pool: pool.id })));
}

function formatFields(fields: readonly FieldChange[]): string {
    return fields
        .map(({ field, before, after }) => `${field} ${formatValue(before)} -> ${formatValue(after)}`)
        .join(", ");
}

function formatValue(value: unknown): string {
    return typeof value === "string" ? value : JSON.stringify(value) ?? "(none)";
}

function formatList(label: string, ids: readonly string[]): string {
    return ids.length === 0 ? `no ${label}` : `${label}${ids.length > 1 ? "s" : ""} ${ids.join(", ")}`;
}

function capitalize(text: string): string {
    return text.charAt(0).toUpperCase() + text.slice(1);
}
