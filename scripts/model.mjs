// Simulates the Quint specifications in spec/ with fixed seeds. A correct specification must satisfy its invariant, a
// deliberately faulty variant must violate it.
// Usage: node scripts/model.mjs [NAME...]   With arguments, checks only files whose name contains one of them.
import { spawn } from "node:child_process";
import { join } from "node:path";

const maxConcurrentChecks = 2;
const quintCommand = join("node_modules", ".bin", "quint");

// A witness is a state that at least one trace must reach. It detects an invariant that holds only because the traces
// never exercise the behaviour it restricts.
const checks = [
    {
        file: "operations",
        invariant: "safe",
        expected: "ok",
        seed: "0x0be1",
        maxSamples: 4000,
        maxSteps: 35,
        witnesses: ["s.runs > 0 and s.handoverConfirmed", "s.lastNotRun >= 0 and s.runs > 0"],
    },
    {
        file: "operationsBroken",
        invariant: "safe",
        expected: "violation",
        seed: "0x0be2",
        maxSamples: 4000,
        maxSteps: 35,
    },
    {
        file: "loans",
        invariant: "safe",
        expected: "ok",
        seed: "0x0be3",
        maxSamples: 3000,
        maxSteps: 40,
        witnesses: ["s.spent.length() > 4", "s.incarnation > 0 and s.heldLoans.size() > 0"],
    },
    { file: "loansBroken", invariant: "safe", expected: "violation", seed: "0x0be4", maxSamples: 6000, maxSteps: 40 },
    {
        file: "document",
        invariant: "neverReverts",
        expected: "ok",
        seed: "0x0be5",
        maxSamples: 3000,
        maxSteps: 40,
        witnesses: ["s.accepted > 1 and VMS.exists(vm => s.acceptedAtStart.get(vm) > 1)"],
    },
    {
        file: "documentBroken",
        invariant: "neverReverts",
        expected: "violation",
        seed: "0x0be6",
        maxSamples: 3000,
        maxSteps: 40,
    },
    {
        file: "documentDisorderly",
        invariant: "neverReverts",
        expected: "violation",
        seed: "0x0be7",
        maxSamples: 3000,
        maxSteps: 40,
    },
    {
        file: "documentRunningOnly",
        invariant: "neverReverts",
        expected: "ok",
        seed: "0x0be8",
        maxSamples: 3000,
        maxSteps: 40,
        witnesses: ["VMS.filter(vm => s.acceptedAtStart.get(vm) > 1).size() > 1"],
    },
    {
        file: "documentCombined",
        invariant: "neverReverts",
        expected: "ok",
        seed: "0x0be9",
        maxSamples: 3000,
        maxSteps: 40,
        witnesses: [
            "VMS.filter(vm => s.acceptedAtStart.get(vm) > 1).size() > 1",
            "VMS.filter(vm => isStarting(s, vm)).size() == 4 and s.lostVersion > 0",
        ],
    },
    {
        file: "documentCombinedBroken",
        invariant: "neverReverts",
        expected: "violation",
        seed: "0x0bea",
        maxSamples: 6000,
        maxSteps: 40,
    },
];

function quintArguments(check) {
    return [
        "run",
        join("spec", `${check.file}.qnt`),
        "--backend=typescript",
        "--verbosity=1",
        `--invariant=${check.invariant}`,
        `--seed=${check.seed}`,
        `--max-samples=${check.maxSamples}`,
        `--max-steps=${check.maxSteps}`,
        ...(check.witnesses ? ["--witnesses", ...check.witnesses] : []),
    ];
}

function runQuint(check) {
    return new Promise(resolve => {
        const child = spawn(quintCommand, quintArguments(check), { stdio: ["ignore", "pipe", "pipe"] });
        const chunks = [];
        child.stdout.on("data", chunk => chunks.push(chunk));
        child.stderr.on("data", chunk => chunks.push(chunk));
        child.on("error", error => resolve(`cannot start ${quintCommand}: ${error.message}`));
        child.on("close", () => resolve(Buffer.concat(chunks).toString()));
    });
}

function outcomeOf(output) {
    return /^\[(ok|violation)\]/m.exec(output)?.[1] ?? "error";
}

function unreachedWitnesses(check, output) {
    return (check.witnesses ?? []).filter(witness => !(traceCountOf(witness, output) > 0));
}

function traceCountOf(witness, output) {
    const line = output.split("\n").find(candidate => candidate.startsWith(`${witness} was witnessed in `));
    return Number(/was witnessed in (\d+) trace/.exec(line ?? "")?.[1]);
}

async function runCheck(check) {
    const startedMs = Date.now();
    const output = await runQuint(check);
    const seconds = ((Date.now() - startedMs) / 1000).toFixed(1);
    const outcome = outcomeOf(output);
    const unreached = unreachedWitnesses(check, output);
    const passed = outcome === check.expected && unreached.length === 0;
    console.log(
        `${passed ? "passed" : "FAILED"}  ${check.file}: expected ${check.expected}, got ${outcome} (${seconds} s)`,
    );
    unreached.forEach(witness => console.log(`        no trace reached the witness: ${witness}`));
    if (!passed) {
        console.log(
            `${output}\nreproduce with: npx quint ${
                quintArguments(check).map(argument => JSON.stringify(argument)).join(" ")
            }`,
        );
    }
    return passed;
}

async function runChecks(pending) {
    const results = [];
    const worker = async () => {
        for (let check = pending.shift(); check; check = pending.shift()) {
            results.push(await runCheck(check));
        }
    };
    await Promise.all(Array.from({ length: maxConcurrentChecks }, worker));
    return results;
}

const nameFilters = process.argv.slice(2);
const selected = checks.filter(({ file }) =>
    nameFilters.length === 0 || nameFilters.some(filter => file.includes(filter))
);
const results = await runChecks([...selected]);
const failedCount = results.filter(passed => !passed).length;
console.log(`${results.length - failedCount} passed, ${failedCount} failed`);
process.exitCode = failedCount > 0 || results.length === 0 ? 1 : 0;
