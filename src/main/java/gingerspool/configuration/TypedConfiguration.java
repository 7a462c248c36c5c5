package gingerspool.configuration;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.util.JsonFormat;
import gingerspool.wire.Json;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Configurations in JSON as typed messages. An item that stands in the version before it, too, is
 * the same object in both and is read once: so a change costs what it changes. For one thread.
 */
final class TypedConfiguration {
    private static final String ROUTES = "Routes";
    private static final String SERVICES = "Services";

    /** The typed items of the version read last, by the JSON object that they were read from. */
    private Map<Object, Message> items = new IdentityHashMap<>();

    /** Reads a configuration; nothing is kept of one that can't be read. */
    Configuration read(Map<String, Object> tree) throws InvalidConfigurationException {
        try {
            if (!(tree.get(ROUTES) instanceof List<?> routes)
                    || !(tree.get(SERVICES) instanceof List<?> services)
                    // The lists' names in the schema: which of both counts is not decided here.
                    || tree.containsKey("routes")
                    || tree.containsKey("services")) {
                return merge(tree, Configuration.newBuilder()).build();
            }
            Map<String, Object> fields = new LinkedHashMap<>(tree);
            fields.remove(ROUTES);
            fields.remove(SERVICES);
            Configuration.Builder builder = merge(fields, Configuration.newBuilder());
            Map<Object, Message> read = new IdentityHashMap<>();
            for (Object route : routes) {
                builder.addRoutes((Route) item(route, Route.newBuilder(), read));
            }
            for (Object service : services) {
                builder.addServices((Service) item(service, Service.newBuilder(), read));
            }
            items = read;
            return builder.build();
        } catch (InvalidProtocolBufferException e) {
            throw new InvalidConfigurationException(e.getMessage());
        }
    }

    private Message item(Object json, Message.Builder builder, Map<Object, Message> read)
            throws InvalidProtocolBufferException, InvalidConfigurationException {
        if (!(json instanceof Map<?, ?>)) {
            throw new InvalidConfigurationException("an item is no object: " + Json.write(json));
        }
        Message known = items.get(json);
        boolean isSameType =
                known != null && known.getDescriptorForType() == builder.getDescriptorForType();
        Message item = isSameType ? known : merge(json, builder).build();
        read.put(json, item);
        return item;
    }

    private static <B extends Message.Builder> B merge(Object json, B builder)
            throws InvalidProtocolBufferException {
        JsonFormat.parser().ignoringUnknownFields().merge(Json.write(json), builder);
        return builder;
    }
}
