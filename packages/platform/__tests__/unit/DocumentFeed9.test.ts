import { describeFleet } from "./FleetScenarios.js";

describeFleet({ size: 9, zones: 3 });
