package gingerspool.simulation;

import gingerspool.configuration.ConfigurationState;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The real configuration state as the state machine of a simulated control process. */
final class RealConfiguration implements ConfigurationReplica {
    private static final Pattern CONTENT = Pattern.compile("\"Content\":(\\d+)");

    private final ConfigurationState state = new ConfigurationState();

    @Override
    public int take(Order order) {
        String body =
                "{\"Version\":"
                        + order.version()
                        + ",\"Content\":"
                        + order.content()
                        + ",\"Routes\":[],\"Services\":[]}";
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        return state.apply(true, order.base(), bytes).status();
    }

    @Override
    public long version() {
        return state.version();
    }

    @Override
    public long content() {
        Matcher content = CONTENT.matcher(new String(state.toJson(), StandardCharsets.UTF_8));
        return content.find() ? Long.parseLong(content.group(1)) : 0;
    }

    /** An order that comes again is taken again only if it is known. */
    @Override
    public boolean has(Order order) {
        RealConfiguration other = new RealConfiguration();
        other.restore(state.snapshot());
        return other.take(order) == TAKEN && other.version() == version();
    }

    @Override
    public byte[] state() {
        return state.snapshot();
    }

    @Override
    public void restore(byte[] from) {
        state.restore(from);
    }
}
