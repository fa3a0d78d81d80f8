// Measures the control traffic between VMs on virtual time, for several fleet sizes.
// Usage: node --expose-gc packages/bench/dist/src/announcements.js [SIZES...]
// Prints one JSON line per fleet size: bytes/s and CPU time of one VM at 21 requests/s, the usage announcements that it
// receives, the share of its tracker questions that are answered, and the number of VMs that it considers alive.
import * as core from "@peridotloft/core";
import * as fleets from "@peridotloft/fleet";
import * as testing from "@peridotloft/testing";

/** Requests per second and VM at the target load of 7,700 requests/s on 360 VMs. */
const requestsPerVmPerS = 21;
const customers = 500;
/** Time in ms without requests after all VMs have started. */
const settleMs = 16_000;
/** Time in ms with requests before the measurement. */
const loadWarmUpMs = 5_000;
const measureMs = 5_000;
const datagramOverheadBytes = 42;
const defaultSizes = [6, 30, 100, 360];

async function measure(size: number) {
    const clock = testing.createVirtualClock();
    const random = testing.createSeededRandom(size);
    const addresses = Array.from({ length: size }, (_, index) => `10.0.${index >> 8}.${index & 255}`);
    let bytes = 0;
    const network = testing.createDatagramNetwork({
        clock,
        delayMs(_from, _to, message) {
            bytes += message.length + datagramOverheadBytes;
            return 1;
        },
    });
    let receivedWeight = 0;
    let receivedUsages = 0;
    let askedQuestions = 0;
    let answeredQuestions = 0;
    const heapBefore = process.memoryUsage().heapUsed;
    const simulateRequest = async (node: fleets.FleetNode): Promise<void> => {
        const upstreamHash = Math.floor(random() * 2 ** 32);
        node.announceUsage({ customerHash: Math.floor(random() * customers), cost: 9_500 });
        askedQuestions++;
        const answer = await node.askTracker({
            upstreamHash,
            sharedParts: [{ hash: 0x9abcdef0, tokens: 2_520 }, { hash: 0x12345678, tokens: 3_780 }],
            ownTokens: 2_890,
            longestWaitMs: 300,
            maxSlotShare: 0.4,
            runMs: 400,
            isSpillover: false,
            statedLimit: undefined,
            learnedRate: undefined,
        });
        answeredQuestions += answer ? 1 : 0;
        // Reports every second attempt on average.
        if (random() < 0.5) {
            node.reportAttempt({
                upstreamHash,
                ticket: 1_000,
                withdrawn: false,
                failed: false,
                unreachable: false,
                tookMs: 180,
                expectedMs: 200,
                runMs: 900,
                expectedRunMs: 800,
            }, answer?.tracker);
        }
    };
    const nodes = addresses.map((address, index) =>
        fleets.createFleetNode({
            address,
            zone: core.zoneId(`zone-${index % 12}`),
            seeds: addresses.slice(0, 3),
            incarnation: 1n,
            socket: network.openSocket(address),
            clock,
            random,
            log: testing.createRecordingLog(),
            metrics: testing.createNoopMetrics(),
        })
    );
    nodes.forEach(node => {
        node.registerUsageListener((_, weight) => {
            receivedUsages++;
            receivedWeight += weight;
        });
        node.registerTracker({
            answer: () => ({
                granted: true,
                ejected: false,
                limited: false,
                statedLimit: undefined,
                learnedRate: undefined,
                otherQueues: [],
                unreadTokens: 9_190,
                newTokens: 2_890,
                running: 20,
                slowness: 1.1,
                ticket: 1_000,
            }),
            recordReport: () => undefined,
            recordLimit: () => undefined,
        });
        node.start();
    });
    await clock.advance(settleMs);
    nodes.forEach(node => core.setRepeatingTimer(clock, 1_000 / requestsPerVmPerS, () => void simulateRequest(node)));
    await clock.advance(loadWarmUpMs);
    [bytes, receivedUsages, receivedWeight, askedQuestions, answeredQuestions] = [0, 0, 0, 0, 0];
    const cpuBefore = process.cpuUsage();
    await clock.advance(measureMs);
    const cpu = process.cpuUsage(cpuBefore);
    global.gc?.();
    const result = {
        vms: size,
        bytesPerS: Math.round(bytes / size / (measureMs / 1_000)),
        cpuMsPerS: Number(((cpu.user + cpu.system) / 1_000 / size / (measureMs / 1_000)).toFixed(2)),
        usagesHeardPerS: Math.round(receivedUsages / size / (measureMs / 1_000)),
        meanWeight: Number((receivedWeight / Math.max(1, receivedUsages)).toFixed(1)),
        answeredShare: Number((answeredQuestions / Math.max(1, askedQuestions)).toFixed(3)),
        vmsKnown: Math.round(nodes.reduce((sum, node) => sum + node.vmCount(), 0) / size),
        heapKbPerVm: Math.round((process.memoryUsage().heapUsed - heapBefore) / 1_024 / size),
    };
    nodes.forEach(node => node.dispose());
    return result;
}

const sizes = process.argv.slice(2).map(Number);
for (const size of sizes.length > 0 ? sizes : defaultSizes) {
    console.log(JSON.stringify(await measure(size)));
}
