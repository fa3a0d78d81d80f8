import { runRouterDaemon } from "./RouterDaemon.js";

await runRouterDaemon(process.argv.slice(2));
