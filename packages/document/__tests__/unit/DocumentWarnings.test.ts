import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as document from "../../src/index.js";

type Input = document.FleetDocumentInput;

const createSoundInput = (): Input => ({
    version: 3,
    zones: [{ id: "a", region: "r" }, { id: "b", region: "r" }],
    vms: [{ id: "vm-1", zone: "a", peerAddress: "127.0.0.1:7101" }],
    customers: [{ id: "north", rateCostPerS: 10, burstCost: 20 }],
    keys: [{ id: "k1", customer: "north", sha256: "0".repeat(64) }],
    pools: [
        {
            id: "assistant",
            kind: "engine",
            models: ["m1"],
            upstreams: [{ id: "e1", zone: "a", url: "http://127.0.0.1:8101", slots: 8, coldSlots: 1 }],
        },
        {
            id: "app",
            kind: "service",
            deadlineMs: 5_000,
            upstreams: [{ id: "s1", zone: "b", url: "http://127.0.0.1:8102", slots: 8, coldSlots: 1 }],
        },
    ],
    routes: [{ id: "holds", method: "POST", path: "/holds", pool: "app", idempotent: false, cost: 20 }],
});

const warningsOf = (input: Input): readonly document.DocumentWarning[] =>
    document.findWarnings(document.validateDocument(input)._unsafeUnwrap());

/** Each change makes one thing suspect in a sound document. */
const cases: readonly [title: string, path: string, change: (input: Input) => void][] = [
    ["no VM in service", "vms", input => input.vms[0]!.state = "leaving"],
    ["a zone without VM and upstream", "zones[2]", input => input.zones.push({ id: "c", region: "r" })],
    [
        "a customer without a key",
        "customers[1]",
        input => input.customers.push({ id: "south", rateCostPerS: 10, burstCost: 20 }),
    ],
    ["a burst below the cost of one request", "customers[0].burstCost", input => input.customers[0]!.burstCost = 19],
    ["a service pool without a route", "pools[1]", input => input.routes = []],
    ["an engine pool without route and model", "pools[0]", input => input.pools[0]!.models = []],
    ["models of a service pool", "pools[1].models", input => input.pools[1]!.models = ["m2"]],
    [
        "upstreams that are all out of service",
        "pools[1].upstreams",
        input => input.pools[1]!.upstreams[0]!.state = "out",
    ],
    ["upstreams in a zone that is out of service", "pools[1].upstreams", input => input.zones[1]!.state = "leaving"],
    [
        "a first byte that may come after the deadline",
        "pools[1].firstByteTimeoutMs",
        input => input.pools[1]!.firstByteTimeoutMs = 5_001,
    ],
    ["an idle time beyond the deadline", "pools[1].idleTimeoutMs", input => input.pools[1]!.idleTimeoutMs = 6_000],
    [
        "two upstreams at one URL",
        "pools[1].upstreams[0].url",
        input => input.pools[1]!.upstreams[0]!.url = "http://127.0.0.1:8101",
    ],
    ["a path that callers encode", "routes[0].path", input => input.routes![0]!.path = "/gr\u00fc\u00dfe"],
    ["a path that callers resolve", "routes[0].path", input => input.routes![0]!.path = "/a/../holds"],
    [
        "a path that ends with a segment that callers resolve",
        "routes[0].path",
        input => input.routes![0]!.path = "/holds/.",
    ],
    [
        "an idempotency window below the deadline",
        "fleet.idempotencyWindowMs",
        input => input.fleet = { idempotencyWindowMs: 4_999 },
    ],
];

describe("findWarnings", () => {
    it("finds nothing in a sound document", () => assert.deepEqual(warningsOf(createSoundInput()), []));

    describe("finds, with the path of the field,", () => {
        cases.forEach(([title, path, change]) =>
            it(title, () => {
                const input = createSoundInput();
                change(input);
                assert.deepEqual(warningsOf(input).map(warning => warning.path), [path]);
            })
        );
    });

    it("accepts what contradicts nothing", () => {
        const input = createSoundInput();
        const [, app] = input.pools;
        Object.assign(app!, { firstByteTimeoutMs: 5_000, idleTimeoutMs: 5_000 });
        input.fleet = { idempotencyWindowMs: 5_000 };
        input.routes![0]!.path = "/holds/.well-known/..x";
        assert.deepEqual(warningsOf(input), []);
    });

    it("names a few of many routes", () => {
        const input = createSoundInput();
        input.routes = Array.from({ length: 5 }, (_, index) => ({
            ...input.routes![0]!,
            id: `r${index}`,
            path: `/r${index}`,
            cost: 21,
        }));
        assert.match(warningsOf(input)[0]!.message, /routes 'r0', 'r1', 'r2' and 2 more/);
    });
});
