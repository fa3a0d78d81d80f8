import * as core from "@peridotloft/core";
import * as z from "zod";
import * as constants from "./DocumentConstants.js";

const id = <T extends string>(brand: (value: string) => T) =>
    z.string()
        .regex(
            /^[a-z0-9][a-z0-9._-]{0,62}$/,
            "must be 1 to 63 of a-z, 0-9, '.', '_' or '-', starting with a letter or digit",
        )
        .transform(brand);

const durationMs = (minimum: number, maximum: number) => z.int().min(minimum).max(maximum);

const serviceState = z.enum(["in-service", "leaving", "out"]);

const httpUrl = z.url({ protocol: /^http$/, error: "must be an http URL" });

const hostAndPort = z.string().regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, "must be an IPv4 address and a port");

const fleetSchema = z.strictObject({
    bucketsPerCustomer: z.int().min(1).max(64).default(4)
        .describe("Number of token buckets that each customer's rate and burst are split into."),
    loanLifetimeMs: durationMs(100, 60_000).default(2_000)
        .describe("Time in ms after which tokens lent to another VM can no longer be spent."),
    idempotencyWindowMs: durationMs(1_000, 3_600_000).default(120_000)
        .describe("Time in ms for which an idempotency key and its response are stored."),
    exchangePeriodMs: durationMs(20, 10_000).default(200)
        .describe("Time in ms between two gossip messages of one VM."),
});

const zoneSchema = z.strictObject({
    id: id(core.zoneId).describe("Name of the availability zone."),
    region: z.string().min(1).describe("Region that the availability zone is in."),
    state: serviceState.default("in-service").describe("'leaving' and 'out': its upstreams get no new work."),
});

const vmSchema = z.strictObject({
    id: id(core.vmId).describe("Name of the VM; it stays when the machine is replaced."),
    zone: id(core.zoneId).describe("Availability zone that the VM is in."),
    peerAddress: hostAndPort.describe("IPv4 address and port where the VM listens for other VMs."),
    state: z.enum(["in-service", "leaving", "out", "retired"]).default("in-service")
        .describe("'retired' states that the machine has been terminated; what it owned moves to other VMs."),
    joinedVersion: z.int().min(1).default(1).describe("Version of the document that added this VM."),
});

const customerSchema = z.strictObject({
    id: id(core.customerId).describe("Name of the customer."),
    weight: z.number().positive().max(1_000).default(1).describe("Share of contended capacity, relative to others."),
    rateCostPerS: z.number().positive().describe("Sustained rate in cost units per second, over the whole fleet."),
    burstCost: z.number().positive().describe("Burst in cost units, over the whole fleet."),
    maxQueued: z.int().min(1).max(100_000).default(64).describe(
        "Requests that may wait in one VM's queue of one pool.",
    ),
});

const keySchema = z.strictObject({
    id: id(core.keyId).describe("Name of the key; not the key itself."),
    customer: id(core.customerId).describe("Customer whose requests come with the key."),
    sha256: z.string().regex(/^[0-9a-f]{64}$/, "must be a SHA-256 hash in 64 lower-case hex digits")
        .describe("SHA-256 hash of the key, as `peridotloft hash-key` prints it."),
});

const upstreamSchema = z.strictObject({
    id: id(core.upstreamId).describe("Name of the upstream."),
    zone: id(core.zoneId).describe("Availability zone that the upstream is in."),
    url: httpUrl.describe("Base URL of the upstream."),
    slots: z.int().min(1).max(10_000).describe("Requests the upstream may run at once, from all VMs together."),
    coldSlots: z.int().min(1).max(10_000).describe("Requests the upstream may run at once while in cold start."),
    state: serviceState.default("in-service").describe("'leaving' and 'out': it gets no new work."),
});

const poolSchema = z.strictObject({
    id: id(core.poolId).describe("Name of the pool."),
    kind: z.enum(["engine", "service"]).describe("Model engines, or plain services behind routes."),
    models: z.array(z.string().min(1)).default([]).describe("Model names that an engine pool serves."),
    deadlineMs: durationMs(100, 3_600_000).default(60_000).describe("Time in ms in which a request must end."),
    firstByteTimeoutMs: durationMs(50, 3_600_000).default(constants.defaultUpstreamTimeoutMs)
        .describe("Time in ms in which an upstream must begin its response."),
    idleTimeoutMs: durationMs(50, 3_600_000).default(constants.defaultUpstreamTimeoutMs)
        .describe("Longest wait in ms for the next chunk of a response."),
    upstreams: z.array(upstreamSchema).min(1, "a pool needs at least one upstream"),
});

const routeSchema = z.strictObject({
    id: id(core.routeId).describe("Name of the route."),
    method: z.enum(["GET", "POST", "PUT", "PATCH", "DELETE"]).describe("HTTP method that callers use."),
    path: z.string().regex(/^\/[^?#\s]*$/, "must be an absolute path without query")
        .describe("Path that callers use."),
    pool: id(core.poolId).describe("Pool whose upstreams serve the route."),
    idempotent: z.boolean().describe("Whether running a request twice has the same effect as running it once."),
    open: z.boolean().default(false).describe("Whether callers need no key."),
    cost: z.number().positive().default(1).describe("Cost units charged for each request."),
});

/** Schema of the published document. {@link validateDocument} also checks references between sections. */
export const fleetDocumentSchema = z.strictObject({
    version: z.int().min(1).describe("Version of the document; each accepted version is higher than the last."),
    fleet: fleetSchema.prefault({}),
    zones: z.array(zoneSchema).min(1),
    vms: z.array(vmSchema).min(1).max(constants.maxVms),
    customers: z.array(customerSchema).max(constants.maxCustomers),
    keys: z.array(keySchema).max(constants.maxKeys).default([]),
    pools: z.array(poolSchema).min(1),
    routes: z.array(routeSchema).default([]),
});

/** A validated document. Immutable. */
export type FleetDocument = z.output<typeof fleetDocumentSchema>;
/** The JSON form, in which fields with a default are optional. */
export type FleetDocumentInput = z.input<typeof fleetDocumentSchema>;
export type Fleet = FleetDocument["fleet"];
export type Zone = FleetDocument["zones"][number];
export type Vm = FleetDocument["vms"][number];
export type Customer = FleetDocument["customers"][number];
export type ApiKey = FleetDocument["keys"][number];
export type Pool = FleetDocument["pools"][number];
export type Upstream = Pool["upstreams"][number];
export type Route = FleetDocument["routes"][number];
export type ServiceState = z.output<typeof serviceState>;
