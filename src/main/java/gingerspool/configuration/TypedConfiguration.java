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
    private static final String ROUTES_FIELD = "Routes";
    private static final String SERVICES_FIELD = "Services";

    /** The typed items of the version read last, by the JSON object that they were read from. */
    private Map<Object, Message> itemsByJson = new IdentityHashMap<>();

    /** Reads a configuration; nothing is kept of one that can't be read. */
    Configuration read(Map<String, Object> json) throws InvalidConfigurationException {
        try {
            if (!(json.get(ROUTES_FIELD) instanceof List<?> routes)
                    || !(json.get(SERVICES_FIELD) instanceof List<?> services)
                    // The lists' names in the schema: which of both counts is not decided here.
                    || json.containsKey("routes")
                    || json.containsKey("services")) {
                return merge(json, Configuration.newBuilder()).build();
            }
            Map<String, Object> fields = new LinkedHashMap<>(json);
            fields.remove(ROUTES_FIELD);
            fields.remove(SERVICES_FIELD);
            Configuration.Builder builder = merge(fields, Configuration.newBuilder());
            Map<Object, Message> readItems = new IdentityHashMap<>();
            for (Object route : routes) {
                builder.addRoutes((Route) item(route, Route.newBuilder(), readItems));
            }
            for (Object service : services) {
                builder.addServices((Service) item(service, Service.newBuilder(), readItems));
            }
            itemsByJson = readItems;
            return builder.build();
        } catch (InvalidProtocolBufferException e) {
            throw new InvalidConfigurationException(e.getMessage());
        }
    }

    private Message item(Object json, Message.Builder builder, Map<Object, Message> readItems)
            throws InvalidProtocolBufferException, InvalidConfigurationException {
        if (!(json instanceof Map<?, ?>)) {
            throw new InvalidConfigurationException("an item is no object: " + Json.write(json));
        }
        Message knownItem = itemsByJson.get(json);
        boolean isSameType =
                knownItem != null
                        && knownItem.getDescriptorForType() == builder.getDescriptorForType();
        Message item = isSameType ? knownItem : merge(json, builder).build();
        readItems.put(json, item);
        return item;
    }

    private static <B extends Message.Builder> B merge(Object json, B builder)
            throws InvalidProtocolBufferException {
        JsonFormat.parser().ignoringUnknownFields().merge(Json.write(json), builder);
        return builder;
    }
}
