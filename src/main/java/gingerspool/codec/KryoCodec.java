package gingerspool.codec;

import com.esotericsoftware.kryo.Kryo;
import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.Serializer;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import com.esotericsoftware.kryo.serializers.CollectionSerializer;
import com.esotericsoftware.kryo.serializers.MapSerializer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Encodes messages to bytes and decodes them with Kryo, for links between processes and for the log
 * on disk. Only registered types are read. Not thread-safe.
 */
public final class KryoCodec {
    private static final int INITIAL_BUFFER_BYTES = 512;

    /** Far above the nesting of any message, far below what would overflow a thread's stack. */
    private static final int MAX_DEPTH = 64;

    /** Kryo's offset of encoded type identifiers: the values below mean null and class names. */
    private static final int CLASS_ID_OFFSET = 2;

    private final Kryo kryo = new Kryo();
    private final Output output = new Output(INITIAL_BUFFER_BYTES, -1);

    /** A type is encoded as its position in this list, which writer and reader must share. */
    public KryoCodec(List<Class<?>> types) {
        this(types, ComponentSerializer::new);
    }

    /** Takes the serializer of records, so that tests can compare another one. */
    KryoCodec(List<Class<?>> types, Function<Class<?>, Serializer<?>> recordSerializer) {
        kryo.setReferences(false);
        kryo.setMaxDepth(MAX_DEPTH);
        kryo.register(byte[].class);
        kryo.addDefaultSerializer(List.class, new ArrayListSerializer());
        kryo.addDefaultSerializer(Map.class, new HashMapSerializer());
        kryo.register(List.class, new ArrayListSerializer());
        kryo.register(ArrayList.class, new ArrayListSerializer());
        kryo.register(Map.class, new HashMapSerializer());
        kryo.register(HashMap.class, new HashMapSerializer());
        for (Class<?> type : types) {
            if (type.isRecord()) {
                kryo.register(type, recordSerializer.apply(type));
            } else if (type.isInterface()) {
                kryo.register(type, new PolymorphicSerializer());
            } else {
                kryo.register(type);
            }
        }
    }

    private static void checkAvailable(Input input, int size) {
        ((MessageInput) input).checkAvailable(size);
    }

    /** Reads every list as an ArrayList, whichever class was written. */
    private static final class ArrayListSerializer extends CollectionSerializer<List<?>> {
        @Override
        protected List<?> create(Kryo kryo, Input input, Class<? extends List<?>> type, int size) {
            checkAvailable(input, size);
            return new ArrayList<>(size);
        }
    }

    /** Serializes a component declared as an interface, with the type of its value. */
    private static final class PolymorphicSerializer extends Serializer<Object> {
        @Override
        public void write(Kryo kryo, Output output, Object message) {
            kryo.writeClassAndObject(output, message);
        }

        @Override
        public Object read(Kryo kryo, Input input, Class<? extends Object> type) {
            return kryo.readClassAndObject(input);
        }
    }

    /** Reads every map as a HashMap, whichever class was written. */
    private static final class HashMapSerializer extends MapSerializer<Map<?, ?>> {
        @Override
        protected Map<?, ?> create(
                Kryo kryo, Input input, Class<? extends Map<?, ?>> type, int size) {
            checkAvailable(input, size);
            return new HashMap<>();
        }
    }

    /** Encodes a message of a registered type. */
    public byte[] write(Object message) {
        output.reset();
        kryo.writeClassAndObject(output, message);
        return output.toBytes();
    }

    /** The encoded type identifier that a message of this type begins with. */
    int encodedTypeId(Class<?> type) {
        return kryo.getRegistration(type).getId() + CLASS_ID_OFFSET;
    }

    /** Decodes a message; throws if the bytes are not a message of a registered type. */
    public Object read(byte[] bytes) throws MalformedMessageException {
        try {
            return kryo.readClassAndObject(new MessageInput(bytes));
        } catch (KryoException
                | IllegalArgumentException
                | IndexOutOfBoundsException
                | NegativeArraySizeException e) {
            throw new MalformedMessageException(String.valueOf(e.getMessage()));
        }
    }
}
