export { runCli } from "./Cli.js";
export { exitCodes } from "./CliConstants.js";
export { describeChanges } from "./DiffWords.js";
