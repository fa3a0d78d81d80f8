export * from "./ChildProcesses.js";
export * from "./DemoFleet.js";
export * from "./EngineOptions.js";
