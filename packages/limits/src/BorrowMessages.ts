import * as protobuf from "@bufbuild/protobuf";
import { err, ok, type Result } from "neverthrow";
import {
    type BorrowAnswer,
    BorrowAnswerSchema,
    type BorrowLine,
    BorrowLineSchema,
    type BorrowRequest,
    BorrowRequestSchema,
} from "./gen/limits_pb.js";

export type BorrowLineContent = protobuf.MessageInitShape<typeof BorrowLineSchema>;
export type BorrowRequestContent = protobuf.MessageInitShape<typeof BorrowRequestSchema>;
export type BorrowReplyContent = protobuf.MessageInitShape<typeof BorrowAnswerSchema>;

export function encodeRequest(content: BorrowRequestContent): Uint8Array {
    return protobuf.toBinary(BorrowRequestSchema, protobuf.create(BorrowRequestSchema, content));
}

export function encodeReply(content: BorrowReplyContent): Uint8Array {
    return protobuf.toBinary(BorrowAnswerSchema, protobuf.create(BorrowAnswerSchema, content));
}

function decode<Schema extends protobuf.DescMessage>(
    schema: Schema,
    payload: Uint8Array,
): Result<protobuf.MessageShape<Schema>, string> {
    try {
        return ok(protobuf.fromBinary(schema, payload));
    }
    catch (error) {
        return err(`malformed ${schema.name}: ${(error as Error).message}`);
    }
}

export const decodeRequest = (payload: Uint8Array): Result<BorrowRequest, string> =>
    decode(BorrowRequestSchema, payload);

export const decodeReply = (payload: Uint8Array): Result<BorrowAnswer, string> => decode(BorrowAnswerSchema, payload);

export type { BorrowAnswer, BorrowLine, BorrowRequest };
