import { runPlatform } from "./Platform.js";
import { readOptions } from "./StandInServer.js";

runPlatform(readOptions({ port: 0, document: undefined as unknown, callsPerS: 2_000, listLagMs: 2_000 }));
