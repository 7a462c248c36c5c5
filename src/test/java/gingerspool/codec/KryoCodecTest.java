package gingerspool.codec;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import com.esotericsoftware.kryo.io.Output;
import com.esotericsoftware.kryo.serializers.RecordSerializer;
import gingerspool.consensus.ConsensusMessage;
import gingerspool.consensus.LogEntry;
import gingerspool.consensus.Member;
import gingerspool.consensus.SnapshotPiece;
import gingerspool.consensus.VoterSet;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The encoding of messages, and the rejection of malformed ones. */
public class KryoCodecTest {
    private static final int NESTED_LISTS = 100_000;
    private static final Member A = new Member("10.0.0.1", "0");
    private final KryoCodec codec = new KryoCodec(MessageTypes.ALL);

    /** Uses Kryo's own record serializer, which wrote the data that is on existing disks. */
    private final KryoCodec kryoRecordCodec =
            new KryoCodec(
                    MessageTypes.ALL,
                    type -> {
                        RecordSerializer<?> serializer = new RecordSerializer<>(type);
                        serializer.setFixedFieldTypes(true);
                        return serializer;
                    });

    @Test(dataProvider = "messages")
    public void recordEncodingMatchesKryosRecordSerializer(Object message) throws Exception {
        byte[] bytes = kryoRecordCodec.write(message);
        assertEquals(codec.write(message), bytes);
        assertEquals(codec.read(bytes), message);
        assertEquals(kryoRecordCodec.read(codec.write(message)), message);
    }

    @DataProvider
    Object[][] messages() {
        return new Object[][] {
            {new Messages.Heartbeat("10.0.0.1")},
            {new Messages.LeaderAnnouncement(3, "", List.of("a", "b"))},
            {new Messages.Register("n", "z", 4, Map.of("i", 2))},
            {new Messages.SlotDemand("f", 1, 2, 3, 4, 5.5)},
            {new Messages.SlotGrant("f", "i", "10.0.0.1:1", "z", 4, 1, 0, 2)},
            {new Messages.InstanceWithdrawal(List.of("i"))},
            {new ConsensusMessage.Envelope(A, null, new ConsensusMessage.JoinRequest(0))},
            {
                new ConsensusMessage.Envelope(
                        A, A, new ConsensusMessage.Referral(1, "", List.of("10.0.0.2")))
            },
            {
                new ConsensusMessage.Envelope(
                        A,
                        A,
                        new ConsensusMessage.AppendEntries(
                                1,
                                2,
                                1,
                                List.of(
                                        new LogEntry(
                                                1, null, new VoterSet(List.of(A), List.of(A)))),
                                2,
                                7.5))
            },
            {
                new ConsensusMessage.Envelope(
                        A,
                        A,
                        new ConsensusMessage.InstallSnapshot(
                                1,
                                new SnapshotPiece(0, 0, VoterSet.of(List.of(A)), "d", 2, 1, null),
                                0,
                                1))
            }
        };
    }

    @Test(dataProvider = "messages")
    public void messageRoundTripsAndEachTruncationIsRejected(Object message)
            throws MalformedMessageException {
        byte[] bytes = codec.write(message);
        assertEquals(codec.read(bytes), message);
        for (int cut = 0; cut < bytes.length; cut++) {
            byte[] truncated = Arrays.copyOf(bytes, cut);
            expectThrows(MalformedMessageException.class, () -> codec.read(truncated));
        }
    }

    @Test
    public void rejectsOrReadsRandomBytes() {
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 20_000; i++) {
            byte[] bytes = new byte[random.nextInt(40)];
            random.nextBytes(bytes);
            try {
                codec.read(bytes);
            } catch (MalformedMessageException e) {
                // Malformed input from a peer must not fail the event loop with any other
                // exception.
                assertEquals(e.getClass(), MalformedMessageException.class);
            }
        }
    }

    /** Guards against a message of a few bytes that exhausts the reader's heap. */
    @Test(dataProvider = "declaredLengths")
    public void declaredLengthBeyondTheInputIsRejectedBeforeAllocation(
            String declared, byte[] message) {
        expectThrows(MalformedMessageException.class, () -> codec.read(message));
    }

    @DataProvider
    Object[][] declaredLengths() {
        return new Object[][] {
            {
                "bytes",
                messageStartingWith(
                        byte[].class, output -> output.writeVarInt(Integer.MAX_VALUE, true))
            },
            {
                "a string",
                messageStartingWith(
                        Messages.Heartbeat.class,
                        output -> output.writeVarIntFlag(true, Integer.MAX_VALUE, true))
            },
            {
                "nulls",
                messageStartingWith(
                        ArrayList.class,
                        output -> {
                            output.writeVarIntFlag(true, Integer.MAX_VALUE, true);
                            output.writeVarInt(0, true);
                        })
            },
            {
                "entries",
                messageStartingWith(
                        HashMap.class, output -> output.writeVarInt(Integer.MAX_VALUE, true))
            }
        };
    }

    /** Guards against a message of nested lists that overflows the reader's stack. */
    @Test
    public void nestedListsAreRejectedBeforeTheStackOverflows() {
        byte[] message =
                messageStartingWith(
                        ArrayList.class,
                        output -> {
                            for (int i = 0; i < NESTED_LISTS; i++) {
                                output.writeVarIntFlag(true, 2, true);
                                output.writeVarInt(codec.encodedTypeId(ArrayList.class), true);
                                output.writeBoolean(false);
                            }
                        });
        expectThrows(MalformedMessageException.class, () -> codec.read(message));
    }

    /** A message that begins with the type's identifier, followed by the written content. */
    private byte[] messageStartingWith(Class<?> type, Consumer<Output> writeContent) {
        Output output = new Output(64, -1);
        output.writeVarInt(codec.encodedTypeId(type), true);
        writeContent.accept(output);
        return output.toBytes();
    }
}
