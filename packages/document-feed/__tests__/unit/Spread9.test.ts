import { describeSpread } from "./SpreadScenarios.js";

describeSpread({ size: 9, zones: 3 });
