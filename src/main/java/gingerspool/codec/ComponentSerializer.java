package gingerspool.codec;

import com.esotericsoftware.kryo.Kryo;
import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.Serializer;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.RecordComponent;
import java.util.Arrays;
import java.util.Comparator;

/**
 * Writes a record component by component, in the order of their names, each as its declared type;
 * the form of Kryo's {@code RecordSerializer} with fixed field types. That one looks for records by
 * reflection on reflection, since it also serves Java 8, which costs a process that starts on a
 * small share of a processor a tenth of its start.
 */
final class ComponentSerializer<T> extends Serializer<T> {
    /** A component and its place in the canonical constructor. */
    private record Component(int position, Class<?> type, Method accessor) {}

    private final Component[] componentsByName;
    private final Constructor<T> constructor;

    ComponentSerializer(Class<T> type) {
        RecordComponent[] declared = type.getRecordComponents();
        Class<?>[] types = new Class<?>[declared.length];
        componentsByName = new Component[declared.length];
        for (int i = 0; i < declared.length; i++) {
            types[i] = declared[i].getType();
            componentsByName[i] = new Component(i, types[i], declared[i].getAccessor());
            componentsByName[i].accessor.setAccessible(true);
        }
        Arrays.sort(
                componentsByName, Comparator.comparing(component -> component.accessor.getName()));
        try {
            constructor = type.getDeclaredConstructor(types);
            constructor.setAccessible(true);
        } catch (NoSuchMethodException e) {
            throw new IllegalArgumentException(type + " is no record", e);
        }
    }

    @Override
    public void write(Kryo kryo, Output output, T message) {
        for (Component component : componentsByName) {
            Object value = valueOf(component, message);
            if (component.type.isPrimitive()) {
                kryo.writeObject(output, value);
            } else {
                kryo.writeObjectOrNull(output, value, component.type);
            }
        }
    }

    private static Object valueOf(Component component, Object message) {
        try {
            return component.accessor.invoke(message);
        } catch (ReflectiveOperationException e) {
            throw new KryoException(e);
        }
    }

    @Override
    public T read(Kryo kryo, Input input, Class<? extends T> type) {
        Object[] values = new Object[componentsByName.length];
        for (Component component : componentsByName) {
            values[component.position] =
                    component.type.isPrimitive()
                            ? kryo.readObject(input, component.type)
                            : kryo.readObjectOrNull(input, component.type);
        }
        return create(values);
    }

    /** A constructor that refuses what was read says that the peer wrote none of ours. */
    private T create(Object[] values) {
        try {
            return constructor.newInstance(values);
        } catch (InvocationTargetException e) {
            throw new KryoException(e.getCause());
        } catch (ReflectiveOperationException e) {
            throw new KryoException(e);
        }
    }
}
