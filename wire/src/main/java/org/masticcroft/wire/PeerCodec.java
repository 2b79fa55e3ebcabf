package org.masticcroft.wire;

import com.google.protobuf.CodedInputStream;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.MessageToMessageCodec;
import java.io.IOException;
import java.util.List;
import org.masticcroft.wire.generated.Envelope;

/** Encodes envelopes as frames that start with a four-byte length. */
final class PeerCodec extends MessageToMessageCodec<ByteBuf, Envelope> {
    /** Largest frame in bytes: 20 MiB hold a request body or a chunk of weights with its envelope. */
    static final int MAX_FRAME_BYTES = 20 << 20;

    private static final int LENGTH_BYTES = 4;

    private PeerCodec() {}

    static void install(Channel channel) {
        channel.pipeline()
                .addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                .addLast(new LengthFieldPrepender(LENGTH_BYTES))
                .addLast(new PeerCodec());
    }

    @Override
    protected void encode(ChannelHandlerContext context, Envelope message, List<Object> out) {
        ByteBuf buffer = context.alloc().buffer(message.getSerializedSize());
        buffer.writeBytes(message.toByteArray());
        out.add(buffer);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf frame, List<Object> out) throws IOException {
        out.add(Envelope.parseFrom(CodedInputStream.newInstance(frame.nioBuffer())));
    }
}
