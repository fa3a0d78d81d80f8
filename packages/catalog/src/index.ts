export * from "./Catalog.js";
export * from "./CatalogFollower.js";
export * from "./CatalogRelay.js";
export * from "./CatalogSnapshot.js";
export * from "./CatalogSource.js";
export * from "./RouteTable.js";
