import { parseArgs } from "node:util";
import { solveLeastSquares } from "./leastSquares.js";
import { runEqualSplit } from "./limitsBaseline.js";
import { measureLocalCost } from "./limitsLocalCost.js";
import { type FleetRun, runLimiterFleet } from "./limitsRun.js";
import { type Score, scoreDecisions } from "./limitsScore.js";
import { createTrace, type Placement, requestsPerVmPerS, type TraceShape } from "./limitsTrace.js";

/**
 * Bytes that the envelope (76) and the reply (36) of one call add to the payloads, computed from the fields of
 * peering.proto with ids of 6 bytes. HTTP/2 frames and compressed headers are not included.
 */
const envelopeBytesPerCall = 112;

/** Control budget of one VM in bytes per second (design page, section 1.5). */
const budgetBytesPerS = 5_000;

/** Requests per run, enough for 10 s at 24 VMs. Larger fleets run for a shorter time, but for at least 5 s. */
const targetRequests = 5_000;
const minDurationMs = 5_000;
const maxDurationMs = 20_000;

interface Row {
    readonly vmCount: number;
    readonly customerCount: number;
    readonly placement: Placement;
    readonly fleet: Score;
    readonly split: Score;
    readonly run: FleetRun;
}

const percent = (share: number): string => Number.isFinite(share) ? `${(share * 100).toFixed(2)}%` : "-";

const controlBytes = ({ run }: Row): number => run.payloadBytesPerVmPerS + run.callsPerVmPerS * envelopeBytesPerCall;

type FleetShape = Omit<TraceShape, "durationMs">;

async function measure(shape: FleetShape): Promise<Row> {
    const { vmCount, seed } = shape;
    const durationMs = Math.min(
        maxDurationMs,
        Math.max(minDurationMs, targetRequests / (requestsPerVmPerS * vmCount) * 1_000),
    );
    const trace = createTrace({ ...shape, durationMs });
    const run = await runLimiterFleet(trace, seed);
    return {
        ...shape,
        run,
        fleet: scoreDecisions(trace, run.decisions),
        split: scoreDecisions(trace, runEqualSplit(trace)),
    };
}

const header = [
    "VMs",
    "customers",
    "entry",
    "admitted",
    "split",
    "wrongful",
    "by estimates",
    "split",
    "flood/ref",
    "split",
    "overshoot/burst",
    "less E",
    "split",
    "calls/s/VM",
    "payload B/s/VM",
    "with envelopes",
    "wait p99 ms",
    "CPU us/request",
];

const formatRow = (row: Row): string[] => [
    String(row.vmCount),
    String(row.customerCount),
    row.placement,
    percent(row.fleet.admittedShare),
    percent(row.split.admittedShare),
    percent(row.fleet.wrongfulShare),
    percent(row.fleet.wrongfulByEstimateShare),
    percent(row.split.wrongfulShare),
    percent(row.fleet.floodRatio),
    percent(row.split.floodRatio),
    percent(row.fleet.worstOvershoot),
    percent(row.fleet.worstViolation),
    percent(row.split.worstOvershoot),
    row.run.callsPerVmPerS.toFixed(1),
    row.run.payloadBytesPerVmPerS.toFixed(0),
    controlBytes(row).toFixed(0),
    row.run.waitP99Ms.toFixed(1),
    row.run.cpuUsPerRequest.toFixed(0),
];

const printLine = (cells: readonly string[]): void => console.log(`| ${cells.join(" | ")} |`);

function printSlopes(rows: readonly Row[], placement: Placement): void {
    const placementRows = rows.filter(row => row.placement === placement);
    const [base = 0, perVm = 0, perCustomer = 0] = solveLeastSquares(
        placementRows.map(row => [1, row.vmCount, row.customerCount]),
        placementRows.map(controlBytes),
    );
    console.log(
        `- ${placement}: ${base.toFixed(0)} + ${perVm.toFixed(2)} per VM + ${perCustomer.toFixed(2)} per customer`,
    );
}

const legend = `
- wrongful: share of refused requests among the customers that a single token bucket never refuses if it knows each cost
  at arrival; "by estimates": if it charges the same estimates until the requests end.
- flood/ref: admitted cost of the other customers, relative to a single token bucket that knows each cost at arrival.
- overshoot: largest excess over rate*t + burst in any interval; "less E": minus the allowed settlement error.
- The equal split knows each cost at arrival.
- CPU time includes the virtual clock and network.
`;

const placements: readonly Placement[] = ["few VMs", "all VMs"];

const parseList = (text: string): number[] => text.split(",").map(Number);

async function main(): Promise<void> {
    const { values } = parseArgs({
        options: {
            seed: { type: "string", default: "1" },
            vms: { type: "string", default: "3,6,9,24,72,360" },
            customers: { type: "string", default: "16,100,500" },
            buckets: { type: "string", default: "4" },
        },
    });
    const seed = Number(values.seed);
    const bucketsPerCustomer = Number(values.buckets);
    const shapes = parseList(values.vms).flatMap(vmCount =>
        parseList(values.customers).flatMap(customerCount =>
            placements.map(placement => ({ vmCount, customerCount, placement, bucketsPerCustomer, seed }))
        )
    );
    console.log(
        `Seed ${seed}; ${requestsPerVmPerS} requests/s per VM; ${bucketsPerCustomer} buckets; "split" is an equal split without loans.`,
    );
    console.log(legend);
    printLine(header);
    printLine(header.map(() => "---"));
    const rows: Row[] = [];
    for (const shape of shapes) {
        const row = await measure(shape);
        rows.push(row);
        printLine(formatRow(row));
    }
    console.log("\nControl bytes/s per VM with envelopes, by least squares:\n");
    placements.forEach(placement => printSlopes(rows, placement));
    const overBudget = rows.filter(row => controlBytes(row) > budgetBytesPerS);
    console.log(`\nRuns over ${budgetBytesPerS} B/s per VM: ${overBudget.length} of ${rows.length}.`);
    const localCost = await measureLocalCost();
    console.log(
        `One VM that owns all buckets: ${localCost.cpuUsPerAdmission.toFixed(1)} us CPU per admission and settlement.`,
    );
    console.log(`Heap per customer with loans from 4 owners: ${localCost.bytesPerCustomer.toFixed(0)} B.`);
}

await main();
