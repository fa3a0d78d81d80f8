import type * as net from "node:net";

/** Size in bytes of the first part of what is read at once; each further one is twice as large. */
const firstPartBytes = 1_024;

/**
 * Passes what arrives on a connection to the HTTP parser in parts, and keeps the rest for later once the connection is paused. Node.js
 * parses all that it reads at once, 64 KiB, before a pause or a close takes effect: these can hold a thousand requests.
 *
 * Call it after the HTTP server has been given the connection.
 *
 * @param tryDiscard called with all bytes before they are parsed; those for which it returns true are not parsed.
 */
export function parseInParts(socket: net.Socket, tryDiscard: (bytes: Buffer) => boolean = () => false): void {
    const [parse] = socket.listeners("data") as ((bytes: Buffer) => void)[];
    if (!parse) {
        return;
    }
    const parseParts = (bytes: Buffer): void => {
        let offset = 0;
        for (let partBytes = firstPartBytes; offset < bytes.length; partBytes *= 2) {
            if (socket.destroyed || !socket.listeners("data").includes(parseParts)) {
                return;
            }
            if (tryDiscard(bytes.subarray(offset))) {
                return;
            }
            if (socket.isPaused()) {
                socket.unshift(bytes.subarray(offset));
                return;
            }
            parse(bytes.subarray(offset, offset + partBytes));
            offset += partBytes;
        }
    };
    socket.off("data", parse);
    socket.on("data", parseParts);
}
