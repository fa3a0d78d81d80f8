// Measures announcements between VMs on virtual time: node --expose-gc packages/bench/dist/src/announcements.js [SIZES...]
// Prints, for each size of the fleet, bytes/s and processor time of one VM for all control between VMs at 21 requests/s, the
// part of the usage that it hears, the part of its questions that are answered, and how many VMs it knows to be alive.
import * as core from "@peridotloft/core";
import * as fleets from "@peridotloft/fleet";
import * as testing from "@peridotloft/testing";

/** Requests/s that one VM places at the target: 7,700 over 360 VMs. */
const placementsPerS = 21;
const customers = 500;
/** Time in ms without requests after a start of all VMs, and with requests before the measurement. */
const settleMs = 16_000;
const loadedMs = 5_000;
const measureMs = 5_000;
const datagramOverheadBytes = 42;
const defaultSizes = [6, 30, 100, 360];

async function measure(size: number) {
    const clock = testing.createVirtualClock();
    const random = testing.createSeededRandom(size);
    const receivers = new Map<string, (bytes: Uint8Array, from: string) => void>();
    const addresses = Array.from({ length: size }, (_, index) => `10.0.${index >> 8}.${index & 255}`);
    let bytes = 0;
    let heardWeight = 0;
    let heard = 0;
    let asked = 0;
    let answered = 0;
    const before = process.memoryUsage().heapUsed;
    const placeOne = async (node: fleets.FleetNode): Promise<void> => {
        const upstreamHash = Math.floor(random() * 2 ** 32);
        node.announceUsage({ customerHash: Math.floor(random() * customers), cost: 9_500 });
        asked++;
        const answer = await node.askTracker({
            upstreamHash,
            sharedParts: [{ hash: 0x9abcdef0, tokens: 2_520 }, { hash: 0x12345678, tokens: 3_780 }],
            ownTokens: 2_890,
            longestWaitMs: 300,
            runMs: 400,
            isSpillover: false,
        });
        answered += answer ? 1 : 0;
        // One of two first events is reported.
        if (random() < 0.5) {
            node.reportAttempt({
                upstreamHash,
                ticket: 1_000,
                failed: false,
                unreachable: false,
                tookMs: 180,
                expectedMs: 200,
            });
        }
    };
    const nodes = addresses.map((address, index) =>
        fleets.createFleetNode({
            address,
            zone: core.zoneId(`zone-${index % 12}`),
            seeds: addresses.slice(0, 3),
            incarnation: 1n,
            socket: {
                send(message, to) {
                    bytes += message.length + datagramOverheadBytes;
                    clock.setTimer(1, () => receivers.get(to)?.(message, address));
                },
                onMessage: receive => void receivers.set(address, receive),
                close: () => undefined,
            },
            clock,
            random,
            log: testing.createRecordingLog(),
            metrics: testing.createNoopMetrics(),
        })
    );
    nodes.forEach(node => {
        node.registerUsageListener((_, weight) => {
            heard++;
            heardWeight += weight;
        });
        node.registerTracker({
            answer: () => ({
                granted: true,
                ejected: false,
                unreadTokens: 9_190,
                newTokens: 2_890,
                running: 20,
                slowness: 1.1,
                ticket: 1_000,
            }),
            recordReport: () => undefined,
        });
        node.start();
    });
    await clock.advance(settleMs);
    nodes.forEach(node => core.setRepeatingTimer(clock, 1_000 / placementsPerS, () => void placeOne(node)));
    await clock.advance(loadedMs);
    [bytes, heard, heardWeight, asked, answered] = [0, 0, 0, 0, 0];
    const cpuBefore = process.cpuUsage();
    await clock.advance(measureMs);
    const cpu = process.cpuUsage(cpuBefore);
    global.gc?.();
    const result = {
        vms: size,
        bytesPerS: Math.round(bytes / size / (measureMs / 1_000)),
        cpuMsPerS: Number(((cpu.user + cpu.system) / 1_000 / size / (measureMs / 1_000)).toFixed(2)),
        usagesHeardPerS: Math.round(heard / size / (measureMs / 1_000)),
        meanWeight: Number((heardWeight / Math.max(1, heard)).toFixed(1)),
        answeredShare: Number((answered / Math.max(1, asked)).toFixed(3)),
        vmsKnown: Math.round(nodes.reduce((sum, node) => sum + node.vmCount(), 0) / size),
        heapKbPerVm: Math.round((process.memoryUsage().heapUsed - before) / 1_024 / size),
    };
    nodes.forEach(node => node.dispose());
    return result;
}

const sizes = process.argv.slice(2).map(Number);
for (const size of sizes.length > 0 ? sizes : defaultSizes) {
    console.log(JSON.stringify(await measure(size)));
}
