/** The bytes of a caller's requests that have not been answered, from the beginning of the first of them. */
export interface UnansweredBytes {
    /** Number of bytes that are held. */
    length(): number;
    add(bytes: Buffer): void;
    /** Drops the first bytes, which have been answered. */
    dropFirst(count: number): void;
    /** Drops all bytes. Later ones are not held either until `restart`. */
    dropAll(): void;
    /** Holds what is added from now on, which begins a request. */
    restart(): void;
    /** All bytes; undefined if they were dropped. */
    read(): Buffer | undefined;
}

/** Size in bytes of the blocks into which small parts are copied: the object of each part would take more memory than its bytes. */
const blockBytes = 4_096;
const smallPartBytes = blockBytes / 4;

export function createUnansweredBytes(): UnansweredBytes {
    let parts: Buffer[] | undefined = [];
    let length = 0;
    /** The rest of the last block, into which the next small part is copied. */
    let free = Buffer.alloc(0);

    function restart(): void {
        parts = [];
        length = 0;
        free = Buffer.alloc(0);
    }

    function copy(bytes: Buffer): Buffer {
        const isNewBlock = free.length < bytes.length;
        if (isNewBlock) {
            free = Buffer.allocUnsafe(blockBytes);
        }
        bytes.copy(free);
        const copied = free.subarray(0, bytes.length);
        free = free.subarray(bytes.length);
        return copied;
    }

    function addSmall(bytes: Buffer): void {
        const last = parts?.at(-1);
        const copied = copy(bytes);
        const isContiguous = last !== undefined && last.buffer === copied.buffer
            && last.byteOffset + last.length === copied.byteOffset;
        if (parts && isContiguous) {
            parts[parts.length - 1] = Buffer.from(last.buffer, last.byteOffset, last.length + copied.length);
        }
        else {
            parts?.push(copied);
        }
    }

    return {
        length: () => length,
        add(bytes) {
            if (!parts) {
                return;
            }
            length += bytes.length;
            if (bytes.length <= smallPartBytes) {
                addSmall(bytes);
            }
            else {
                parts.push(bytes);
            }
        },
        dropFirst(count) {
            if (parts) {
                // Copied, so that a short rest does not keep the memory of what was read with it.
                const rest = Buffer.from(Buffer.concat(parts).subarray(count));
                restart();
                length = rest.length;
                parts = rest.length > 0 ? [rest] : [];
            }
        },
        dropAll() {
            restart();
            parts = undefined;
        },
        restart,
        read: () => parts && Buffer.concat(parts),
    };
}
