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
 * Converts configurations in JSON to typed messages. An item that the version read before shares is
 * not converted again, so the cost of a change depends on the number of items that it changes. For
 * one thread.
 */
final class TypedConfiguration {
    private static final String ROUTES_FIELD = "Routes";
    private static final String SERVICES_FIELD = "Services";

    /** The typed items of the version read last, by the identity of their JSON object. */
    private Map<Object, Message> itemsByJson = new IdentityHashMap<>();

    /** Converts a configuration. One that is invalid leaves the cached items as they were. */
    Configuration read(Map<String, Object> json) throws InvalidConfigurationException {
        try {
            if (!(json.get(ROUTES_FIELD) instanceof List<?> routes)
                    || !(json.get(SERVICES_FIELD) instanceof List<?> services)
                    // A list may also stand under its name in the schema. The parser decides which
                    // of both counts.
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
            throw new InvalidConfigurationException(
                    "an item is not an object: " + Json.write(json));
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
