import { describe } from "node:test";
import { assertNoViolation, faultNames, runFaults } from "../support/Faults.js";
import { itWithSeeds } from "../support/Seeds.js";

const file = "FaultPairs.test.js";
const pairs = faultNames.flatMap((left, index) => faultNames.slice(index).map(right => [left, right]));

describe("after two faults shorter than the takeover time", () => {
    pairs.forEach(pair =>
        itWithSeeds(file, [2], pair.join(" with "), async seed => assertNoViolation(await runFaults(seed, pair)))
    );
});
