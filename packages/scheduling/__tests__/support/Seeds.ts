import { it } from "node:test";

/** Runs a test once for each seed. A failure prints the command that reproduces it. */
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
                    `reproduce with: SEED=${seed} node scripts/run-tests.mjs scheduling/dist/__tests__/unit/${file}`,
                );
                throw error;
            }
        })
    );
}

/** Checks that an assertion detects a faulty policy. Runs with one seed only, as not every run shows every fault. */
export function itDetectsFault(name: string, body: (seed: number) => Promise<void>) {
    it(name, () => body(1));
}
