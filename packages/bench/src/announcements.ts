// Measures announcements between VMs on virtual time: node --expose-gc packages/bench/dist/src/announcements.js [SIZES...]
// Prints, for each size of the fleet, bytes/s and processor time of one VM, the share of placements that it hears, and
// how many VMs it knows to be alive.
import * as core from "@peridotloft/core";
import * as fleets from "@peridotloft/fleet";
import * as testing from "@peridotloft/testing";

/** Requests/s that one VM places at the target: 7,700 over 360 VMs. */
const placementsPerS = 21;
const settleMs = 20_000;
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
    const before = process.memoryUsage().heapUsed;
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
            metrics: testing.createNoMetrics(),
        })
    );
    nodes.forEach(node => {
        node.registerListener((_, weight) => {
            heard++;
            heardWeight += weight;
        });
        node.start();
        core.setRepeatingTimer(clock, 1_000 / placementsPerS, () =>
            node.announce({
                upstreamHash: Math.floor(random() * 2 ** 32),
                newTokens: 2_890,
                sessionHash: Math.floor(random() * 2 ** 32),
                customerHash: Math.floor(random() * 2 ** 32),
                cost: 9_500,
            }));
    });
    await clock.advance(settleMs);
    [bytes, heard, heardWeight] = [0, 0, 0];
    const cpuBefore = process.cpuUsage();
    await clock.advance(measureMs);
    const cpu = process.cpuUsage(cpuBefore);
    global.gc?.();
    const placed = placementsPerS * (measureMs / 1_000) * size * (size - 1);
    const result = {
        vms: size,
        bytesPerS: Math.round(bytes / size / (measureMs / 1_000)),
        cpuMsPerS: Number(((cpu.user + cpu.system) / 1_000 / size / (measureMs / 1_000)).toFixed(2)),
        heardShare: Number((heard / placed).toFixed(3)),
        weightedShare: Number((heardWeight / placed).toFixed(2)),
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
