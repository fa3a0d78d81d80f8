export { describeChanges } from "./ChangeDescription.js";
export { runCli } from "./Cli.js";
export { exitCodes } from "./CliConstants.js";
