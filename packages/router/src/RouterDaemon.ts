import { parseArgs } from "node:util";
import { createLogger } from "./Logging.js";
import { runRouter } from "./Router.js";
import { readSettings, type Settings } from "./Settings.js";

const exitCodes = { failed: 1, invalidSettings: 2 } as const;

/** Runs a router process: reads the settings file, serves until SIGTERM or SIGINT, drains and exits. */
export async function runRouterDaemon(args: readonly string[]): Promise<void> {
    const file = readSettingsOption(args);
    if (file === undefined) {
        process.stderr.write("usage: router --settings FILE\n");
        process.exitCode = exitCodes.invalidSettings;
        return;
    }
    const settings = readSettings(file);
    if (settings.isErr()) {
        settings.error.forEach(({ path, message }) =>
            process.stderr.write(`settings${path === "" ? "" : ` ${path}`}: ${message}\n`)
        );
        process.exitCode = exitCodes.invalidSettings;
        return;
    }
    await serve(settings.value);
}

function readSettingsOption(args: readonly string[]): string | undefined {
    try {
        return parseArgs({ args: [...args], options: { settings: { type: "string" } } }).values.settings;
    }
    catch {
        return undefined;
    }
}

async function serve(settings: Settings): Promise<void> {
    const logger = createLogger({ vm: settings.vmId });
    try {
        const stopSignal = nextStopSignal();
        const router = await Promise.race([runRouter(settings, logger), stopSignal]);
        if (!router) {
            logger.info("stopped");
            process.exit(0);
        }
        logger.info("listening", { listen: router.listen, adminListen: router.adminListen });
        await stopSignal;
        logger.info("draining");
        await router.drain();
        router.dispose();
        logger.info("stopped");
        process.exit(0);
    }
    catch (error) {
        logger.error("router failed", { error: String(error) });
        process.exit(exitCodes.failed);
    }
}

function nextStopSignal(): Promise<void> {
    return new Promise(resolve => {
        process.on("SIGTERM", () => resolve());
        process.on("SIGINT", () => resolve());
    });
}
