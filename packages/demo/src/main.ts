import { demoKey, demoModel, type Fleet, startFleet } from "./DemoFleet.js";

function describeFleet(fleet: Fleet): string {
    const entry = fleet.routers[0];
    const auth = `-H 'authorization: Bearer ${demoKey}'`;
    const json = "-H 'content-type: application/json'";
    const chat = (stream: boolean) =>
        JSON.stringify({
            model: demoModel,
            stream,
            messages: [{ role: "user", content: "Summarise the night shift." }],
        });
    return [
        `platform  http://${fleet.platform.listen}/v1/document`,
        ...fleet.routers.map(({ name, listen, adminListen }) =>
            `${name}      http://${listen}   status http://${adminListen}/status`
        ),
        ...[...fleet.engines, ...fleet.services].map(({ name, listen }) => `${name}        http://${listen}`),
        "",
        "A streamed answer:",
        `  curl -sN http://${entry?.listen}/v1/chat/completions ${auth} ${json} -d '${chat(true)}'`,
        "A whole answer:",
        `  curl -s http://${entry?.listen}/v1/chat/completions ${auth} ${json} -d '${chat(false)}'`,
        "A seat hold that runs once, however often the second command is sent:",
        `  TICKET=$(curl -s -X POST http://${entry?.listen}/v1/operations ${auth} | sed 's/.*"ticket":"\\([^"]*\\)".*/\\1/')`,
        `  curl -s http://${entry?.listen}/holds ${auth} ${json} -H "operation-ticket: $TICKET" -d '{"seat":"12A"}'`,
        "(The same with -H 'idempotency-key: hold-1' works 125 s after the start: before, a key may be from an earlier run.)",
        "The document:",
        `  curl -s http://${fleet.platform.listen}/v1/document`,
        "Changes seen by a router:",
        `  curl -s http://${entry?.adminListen}/audit`,
        "",
        "Stop with Ctrl-C.",
        "",
    ].join("\n");
}

let stopping = false;
const stopRequested = new Promise<void>(resolve => {
    const stop = (): void => {
        stopping = true;
        resolve();
    };
    process.on("SIGINT", stop);
    process.on("SIGTERM", stop);
});

await runDemonstration().catch((error: unknown) => {
    process.stderr.write(`the demonstration cannot start: ${(error as Error).message}\n`);
    process.exitCode = 1;
});

async function runDemonstration(): Promise<void> {
    const fleet = await startFleet({
        zones: ["a", "b"],
        routers: 3,
        engines: 4,
        services: 2,
        idempotencyWindowMs: 120_000,
        awaitKeys: false,
        ports: { platform: 8070, routers: 8080, admin: 9080 },
    });
    if (!stopping) {
        process.stdout.write(describeFleet(fleet));
    }
    await stopRequested;
    await fleet.stop();
}
