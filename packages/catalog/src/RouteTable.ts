import type { Route } from "./Catalog.js";

/** Finds the route of a request. */
export interface RouteTable {
    /** Returns the route of `host` whose path prefix is the longest match for `path`. */
    find(host: string, path: string): Route | undefined;
}

export function createRouteTable(routes: readonly Route[]): RouteTable {
    const byHost = new Map<string, Route[]>();
    routes.forEach(route => {
        const list = byHost.get(route.host.toLowerCase()) ?? [];
        list.push(route);
        byHost.set(route.host.toLowerCase(), list);
    });
    byHost.forEach(list => list.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length));
    return {
        find: (host, path) =>
            byHost.get(host.toLowerCase().replace(/:\d+$/, ""))?.find(route => path.startsWith(route.pathPrefix)),
    };
}
