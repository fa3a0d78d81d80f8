const invalidCharacter = /[^\u0021-\u00ff]/;

/**
 * Whether the target of a request, its path and query, can be passed on. The parser of Node.js accepts targets with tabs and form
 * feeds, which its clients refuse to write.
 */
export function isRequestTargetValid(target: string): boolean {
    return !invalidCharacter.test(target);
}
