import * as http from "node:http";

/** Sizes in bytes of the buffers into which parts of a body are copied. */
const firstBufferBytes = 1_024;
const maxBufferBytes = 16 * 1_024;

/**
 * A request that joins the parts of its body that wait to be read. Node.js makes an object for each chunk of an encoded body, and
 * reads thousands of chunks of a byte or two at a time; they would take a hundred times their size.
 */
export class CoalescedMessage extends http.IncomingMessage {
    private joined: Buffer | undefined;
    private joinedBytes = 0;

    override push(part: Buffer | null): boolean {
        if (!part || part.length >= firstBufferBytes || this.readableLength === 0) {
            this.flush();
            return super.push(part);
        }
        this.join(part);
        return this.readableLength + this.joinedBytes < this.readableHighWaterMark;
    }

    override _read(size: number): void {
        this.flush();
        super._read(size);
    }

    private join(part: Buffer): void {
        if (this.joined && this.joinedBytes + part.length > this.joined.length) {
            this.flush();
        }
        if (!this.joined) {
            this.joined = Buffer.allocUnsafeSlow(this.nextBufferBytes());
        }
        this.joinedBytes += part.copy(this.joined, this.joinedBytes);
    }

    /** The first buffer is small, since most bodies arrive in few parts. */
    private nextBufferBytes(): number {
        return this.readableLength < firstBufferBytes ? firstBufferBytes : maxBufferBytes;
    }

    private flush(): void {
        if (this.joined) {
            const bytes = this.joined.subarray(0, this.joinedBytes);
            this.joined = undefined;
            this.joinedBytes = 0;
            super.push(bytes);
        }
    }
}
