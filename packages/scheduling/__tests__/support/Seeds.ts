import { it } from "node:test";

/** Runs a test once for each seed. A failure names the command that repeats it. */
export function itWithSeeds(
    file: string,
    seeds: readonly number[],
    name: string,
    body: (seed: number) => Promise<void>,
) {
    const chosen = process.env["SEED"] ? [Number(process.env["SEED"])] : seeds;
    chosen.forEach(seed =>
        it(`${name} (seed ${seed})`, async () => {
            try {
                await body(seed);
            }
            catch (error) {
                console.log(
                    `repeat with: SEED=${seed} node scripts/run-tests.mjs scheduling/dist/__tests__/unit/${file}`,
                );
                throw error;
            }
        })
    );
}

/** Proves with a broken variant that a check catches it. Runs with one seed, as not every run shows every fault. */
export function itFindsFault(name: string, body: (seed: number) => Promise<void>) {
    it(name, () => body(1));
}
