/** Serves the web console on loopback until the process is terminated. */
export async function runConsole(port: number, platformUrl: string | undefined): Promise<void> {
    const console = await import("@peridotloft/console");
    const server = await console.startConsole({ host: "127.0.0.1", port, platformUrl });
    process.stdout.write(`console: ${server.url}\n`);
}
