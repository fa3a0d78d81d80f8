import type * as net from "node:net";

/**
 * What the VM that serves a relayed connection sends on it once it has taken it. It tells the relaying VM, which does not parse HTTP, where
 * responses end.
 *
 * - `bytes`: bytes of responses follow, `value` in number.
 * - `answered`: all requests within the first `value` bytes of the caller have been answered, and the connection stays open.
 * - `released`: the same, and what the caller sends after them is not read any more. None of it has run.
 * - `last`: the connection ends with the response so far, which tells its caller. What the caller still sends belongs to no later request.
 */
export type RelayFrameKind = "bytes" | "answered" | "released" | "last";

export interface RelayFrame {
    readonly kind: RelayFrameKind;
    readonly value: number;
    /** A part of the bytes of a frame of this kind; empty for the others. */
    readonly bytes: Buffer;
}

const kindBytes: Readonly<Record<RelayFrameKind, number>> = { bytes: 1, answered: 2, released: 3, last: 4 };
const kindOfByte = new Map(Object.entries(kindBytes).map(([kind, byte]) => [byte, kind as RelayFrameKind]));
/** A byte for the kind and a number of 6 bytes. */
const headerBytes = 7;
const noBytes = Buffer.alloc(0);

export function encodeFrameHeader(kind: RelayFrameKind, value = 0): Buffer {
    const header = Buffer.allocUnsafe(headerBytes);
    header.writeUInt8(kindBytes[kind], 0);
    header.writeUIntBE(value, 1, headerBytes - 1);
    return header;
}

/**
 * Returns a function that decodes the frames in what arrives; bytes of responses are handed over in the parts in which they arrive. It returns
 * false once something is no frame, and then decodes nothing more.
 */
export function createFrameDecoder(onFrame: (frame: RelayFrame) => void): (received: Buffer) => boolean {
    let partialHeader = noBytes;
    let remainingBytes = 0;
    let isInvalid = false;

    /** Decodes the header or the part of a frame at an offset. Returns the offset after it. */
    function decodeAt(received: Buffer, offset: number): number {
        if (remainingBytes > 0) {
            const bytes = received.subarray(offset, offset + remainingBytes);
            remainingBytes -= bytes.length;
            onFrame({ kind: "bytes", value: bytes.length, bytes });
            return offset + bytes.length;
        }
        const missingBytes = headerBytes - partialHeader.length;
        const part = received.subarray(offset, offset + missingBytes);
        if (part.length < missingBytes) {
            partialHeader = Buffer.concat([partialHeader, part]);
            return received.length;
        }
        const header = partialHeader.length > 0 ? Buffer.concat([partialHeader, part]) : part;
        partialHeader = noBytes;
        const kind = kindOfByte.get(header.readUInt8(0));
        const value = header.readUIntBE(1, headerBytes - 1);
        if (kind === undefined) {
            isInvalid = true;
        }
        else if (kind === "bytes") {
            remainingBytes = value;
        }
        else {
            onFrame({ kind, value, bytes: noBytes });
        }
        return offset + part.length;
    }

    return received => {
        for (let offset = 0; offset < received.length && !isInvalid;) {
            offset = decodeAt(received, offset);
        }
        return !isInvalid;
    };
}

/** Sends frames between the bytes that others write to a connection. */
export interface FramedConnection {
    send(kind: Exclude<RelayFrameKind, "bytes">, value?: number): void;
}

/** Puts what is written to a connection from now on into frames, and sends `last` before its end. */
export function frameWrites(socket: net.Socket): FramedConnection {
    const write = socket.write.bind(socket) as (data: Uint8Array | string, ...rest: unknown[]) => boolean;
    const end = socket.end.bind(socket) as (...rest: unknown[]) => net.Socket;

    function send(kind: RelayFrameKind, value?: number): void {
        if (socket.writable) {
            write(encodeFrameHeader(kind, value));
        }
    }

    const writeFramed = (data: Uint8Array | string, ...rest: unknown[]): boolean => {
        const [encoding] = rest;
        const length = typeof data === "string"
            ? Buffer.byteLength(data, typeof encoding === "string" ? encoding as BufferEncoding : "utf8")
            : data.length;
        socket.cork();
        send("bytes", length);
        const isBelowLimit = write(data, ...rest);
        // Node.js sends all that has been written in this turn at once.
        process.nextTick(() => socket.uncork());
        return isBelowLimit;
    };
    const endFramed = (...args: unknown[]): net.Socket => {
        const data = typeof args[0] === "function" ? undefined : args[0] as Uint8Array | string | undefined;
        if (data !== undefined) {
            writeFramed(data, typeof args[1] === "string" ? args[1] : undefined);
        }
        if (!socket.writableEnded) {
            send("last");
        }
        const callback = args.find(arg => typeof arg === "function");
        return callback ? end(callback) : end();
    };
    Object.assign(socket, { write: writeFramed, end: endFramed });
    return { send };
}
