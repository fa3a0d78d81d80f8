import { demoKey, demoModel, type Fleet, startFleet } from "./DemoFleet.js";

function describeFleet(fleet: Fleet): string {
    const router = fleet.routers[0];
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
        "A streamed response:",
        `  curl -sN http://${router?.listen}/v1/chat/completions ${auth} ${json} -d '${chat(true)}'`,
        "A response without streaming:",
        `  curl -s http://${router?.listen}/v1/chat/completions ${auth} ${json} -d '${chat(false)}'`,
        "A seat hold that runs only once even if the second command is repeated:",
        `  TICKET=$(curl -s -X POST http://${router?.listen}/v1/operations ${auth} | sed 's/.*"ticket":"\\([^"]*\\)".*/\\1/')`,
        `  curl -s http://${router?.listen}/holds ${auth} ${json} -H "operation-ticket: $TICKET" -d '{"seat":"12A"}'`,
        "(-H 'idempotency-key: hold-1' does the same from 125 s after the start; before, a key may be from an earlier run.)",
        "The document:",
        `  curl -s http://${fleet.platform.listen}/v1/document`,
        "Audit trail of a router:",
        `  curl -s http://${router?.adminListen}/audit`,
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
    process.stderr.write(`cannot start the demonstration: ${(error as Error).message}\n`);
    process.exitCode = 1;
});

async function runDemonstration(): Promise<void> {
    const fleet = await startFleet({
        zones: ["a", "b"],
        routers: 3,
        engines: 4,
        services: 2,
        idempotencyWindowMs: 120_000,
        awaitIdempotencyKeys: false,
        ports: { platform: 8070, routers: 8080, admin: 9080 },
    });
    if (!stopping) {
        process.stdout.write(describeFleet(fleet));
    }
    await stopRequested;
    await fleet.stop();
}
