import { describeFleet } from "./FleetScenarios.js";

describeFleet({ size: 48, zones: 4 });
