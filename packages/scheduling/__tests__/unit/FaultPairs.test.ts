import { describe } from "node:test";
import { check, faultNames, runFaults } from "../support/Faults.js";
import { itWithSeeds } from "../support/Seeds.js";

const file = "FaultPairs.test.js";
const pairs = faultNames.flatMap((left, index) => faultNames.slice(index).map(right => [left, right]));

describe("after two faults of less than the takeover time", () => {
    pairs.forEach(pair =>
        itWithSeeds(file, [2], pair.join(" with "), async seed => check(await runFaults(seed, pair)))
    );
});
