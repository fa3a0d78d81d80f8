import { describeSpread } from "./SpreadScenarios.js";

describeSpread({ size: 48, zones: 4 });
