import { describeNeverReverts } from "./RevertScenarios.js";

describeNeverReverts({ size: 48, zones: 4 });
