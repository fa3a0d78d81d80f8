import { describeNeverReverts } from "./RevertScenarios.js";

describeNeverReverts({ size: 9, zones: 3 });
