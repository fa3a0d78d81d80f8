/** Runs the router until it is stopped. Imports it lazily, so that the other commands do not load its libraries. */
export async function runRouter(settingsFile: string): Promise<void> {
    const router = await import("@peridotloft/router");
    await router.runRouterDaemon(["--settings", settingsFile]);
}
