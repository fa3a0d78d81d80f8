/** Runs the router until it is stopped. Loaded on use, so that the other commands start without the router's libraries. */
export async function runRouter(settingsFile: string): Promise<void> {
    const router = await import("@peridotloft/router");
    await router.runRouterDaemon(["--settings", settingsFile]);
}
