package gingerspool.wire;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Numeric addresses, IP:PORT; nothing is ever looked up. */
public final class Address {
    private Address() {}

    public static InetSocketAddress read(String text) throws BadMessage {
        int colon = text.lastIndexOf(':');
        String ip = colon < 0 ? "" : text.substring(0, colon);
        try {
            long port = Message.number(text.substring(colon + 1), 10);
            // Only literals get through, so that getByName never asks a name service.
            if (port < 65536 && ip.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:.]+\\]")) {
                return new InetSocketAddress(InetAddress.getByName(ip), (int) port);
            }
        } catch (UnknownHostException e) {
            // Said below.
        }
        throw new BadMessage(400, "not an address: " + text);
    }

    public static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
