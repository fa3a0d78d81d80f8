import { runEngine } from "./Engine.js";
import { defaultEngineOptions } from "./EngineOptions.js";
import { readOptions } from "./StandInServer.js";

runEngine(readOptions(defaultEngineOptions));
