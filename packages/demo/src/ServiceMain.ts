import { runService } from "./Service.js";
import { readOptions } from "./StandInServer.js";

runService(readOptions({ port: 0, delayMs: 0 }));
