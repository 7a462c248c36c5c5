package gingerspool.barometer;

import gingerspool.almanac.Almanac;
import gingerspool.almanac.BadConfiguration;
import gingerspool.barograph.Ledger;
import gingerspool.barograph.LedgerException;
import gingerspool.barograph.Writer;
import gingerspool.daemon.Loop;
import gingerspool.radiosonde.BadWord;
import gingerspool.radiosonde.Coder;
import gingerspool.radiosonde.Vocabulary;
import gingerspool.radiosonde.Words;
import gingerspool.station.Settings;
import gingerspool.thermograph.Mender;
import gingerspool.thermograph.Ranges;
import gingerspool.weathervane.Change;
import gingerspool.weathervane.Letter;
import gingerspool.weathervane.Member;
import gingerspool.weathervane.Order;
import gingerspool.weathervane.Outlet;
import gingerspool.weathervane.Saved;
import gingerspool.wire.Address;
import gingerspool.wire.Frames;
import gingerspool.wire.Listener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * One process of the core: joins the order of commands with its disk, its links, the operators' door and the
 * duty. Everything happens on one loop; only the ledger has a thread besides. Decides nothing itself.
 */
public final class Barometer implements Outlet, Frames.Owner, Listener.Owner {
    private static final Logger LOG = LogManager.getLogger(Barometer.class);
    private static final int LINKS_MOST = 1024;
    /** Beats a heartbeat interval to schedulers, and the span of a lease in such intervals. */
    private static final double STANDINGS = 2;
    /** Copies of the state are compared at one in so many of these beats. */
    private static final int COMPARED = 8;
    private static final double LEASE = 0.5;
    /** A link is given up after so many intervals of silence; connecting may take this part of one. */
    private static final double SILENT = 1.5;
    private static final double CONNECT = 0.25;
    /** Operators who called are answered within this part of a second of silence that they allow. */
    private static final double ANSWER = 800;
    private static final double SUMMARY = 10_000;

    private final Settings settings;
    final Loop loop;
    private final Coder coder = new Coder(Vocabulary.ALL);
    final Almanac almanac = new Almanac();
    private final Order order;
    private final Writer writer;
    private final OperatorDoor door;
    private final Listener listener;
    /** Our own links to the other machines of the core, by address; and when each was last heard. */
    private final Map<String, Peer> peers = new HashMap<>();
    /** Links that others opened. */
    private final Map<Frames, Caller> callers = new LinkedHashMap<>();
    private final Map<String, Frames> fronts = new HashMap<>();
    private final Map<Long, Waiter> waiters = new HashMap<>();
    private long commands;
    private Duty duty;
    private long dutyView;
    private double orderWakes = Double.POSITIVE_INFINITY;
    private final Mender mender = new Mender(new Mender.Outlet() {
        @Override
        public void ask(String member, long place, int ranges) {
            askedFrom = member;
            tellPeer(member, new Words.Ask(settings.ip, place, ranges));
        }

        @Override
        public void send(String member, long place, int ranges) {
            tellPeer(member, new Words.Mend(settings.ip, place, ranges,
                Ranges.items(almanac.items(), ranges)));
        }
    });
    /** The member whose items we asked for, as most hold what it does. */
    private String askedFrom = "";
    private int standings;
    /** The configuration as it was last pushed: its number, its digest, and when. */
    private long newsNumber;
    private long newsDigest;
    private double newsAt;
    private int reads;
    private int changes;
    private int refused;

    private static final class Peer {
        Frames link;
        boolean up;
        double triedAt = Double.NEGATIVE_INFINITY;
        double heardAt;
    }

    private static final class Caller {
        String front;
        double heardAt;
        long news;
        double newsAt = Double.NEGATIVE_INFINITY;
    }

    private record Waiter(Call.Change call) { }

    public Barometer(Settings settings) throws IOException, LedgerException {
        this.settings = settings;
        loop = new Loop();
        Ledger ledger = new Ledger(settings.data, settings.diskMb);
        Saved disk = ledger.open();
        boolean founds = disk == null && settings.firstStart;
        List<Member> founders = founds ? settings.seeds.stream()
            .map(a -> new Member(a.getAddress().getHostAddress(), Member.FOUNDER)).toList() : List.of();
        // Never the same twice, whatever was on a disk before: so not from a seed.
        String mark = founds ? Member.FOUNDER : UUID.randomUUID().toString();
        writer = new Writer(ledger, loop::enter, this::onSaved, this::whole);
        order = new Order(new Member(settings.ip, mark), disk, founders, settings.tolerated,
            LEASE * settings.beat, settings.name.hashCode(), loop.now(), this);
        door = new OperatorDoor(loop, settings.control, this::run);
        listener = new Listener(loop, new InetSocketAddress(settings.ip, settings.innerPort), this);
        LOG.info("start member={} members={} view={} version={}", order.self(), order.members(), order.view(),
            almanac.version());
    }

    public void begin() {
        writer.start();
        loop.enter(() -> {
            door.begin();
            listener.acceptOn();
            after();
            look();
            standings();
            summary();
        });
    }

    /** Leaves in order: the duty goes to another at once. */
    public void stop(Runnable then) {
        loop.enter(() -> {
            order.leave(loop.now());
            after();
            door.end();
            loop.after(settings.beat / 8, () -> {
                writer.end();
                then.run();
            });
        });
    }

    /** Gives back all that the process's end would, where the process goes on. */
    public void close() {
        writer.end();
        loop.stop();
    }

    // ---- Time ----

    private void look() {
        double now = loop.now();
        Set<String> wanted = new HashSet<>();
        order.members().forEach(m -> wanted.add(m.ip()));
        if (order.isStranger() || order.members().isEmpty()) {
            settings.seeds.forEach(a -> wanted.add(a.getAddress().getHostAddress()));
        }
        wanted.remove(settings.ip);
        wanted.forEach(ip -> connect(ip, now));
        for (Map.Entry<String, Peer> e : List.copyOf(peers.entrySet())) {
            Peer p = e.getValue();
            // Guards against links that a cut has left half dead: a new one works as soon as the cut ends.
            boolean silent = p.up && now > Math.max(p.heardAt, p.triedAt) + SILENT * settings.beat;
            if (p.link != null && (silent || !wanted.contains(e.getKey()) && now > p.heardAt
                + 4 * settings.beat)) {
                p.link.close();
            }
        }
        for (Map.Entry<Frames, Caller> e : List.copyOf(callers.entrySet())) {
            if (now > e.getValue().heardAt + SILENT * settings.beat) {
                e.getKey().close();
            }
        }
        if (order.isStranger()) {
            wanted.forEach(ip -> post(new Member(ip, ""), new Letter.Join(order.view())));
        }
        loop.after(settings.beat / 8, this::look);
    }

    private void connect(String ip, double now) {
        Peer p = peers.computeIfAbsent(ip, k -> new Peer());
        if (p.link == null && now >= p.triedAt + settings.beat / 8) {
            p.triedAt = now;
            try {
                p.link = Frames.open(loop, new InetSocketAddress(ip, settings.innerPort),
                    CONNECT * settings.beat, this);
            } catch (IOException e) {
                LOG.warn("link.failed to={} why=\"{}\"", ip, e.getMessage());
            }
        }
    }

    private void wakeOrder() {
        double at = Math.max(order.nextTick(), loop.now() + 1);
        if (at < orderWakes) {
            orderWakes = at;
            loop.after(at - loop.now(), () -> {
                orderWakes = Double.POSITIVE_INFINITY;
                order.tick(loop.now());
                after();
            });
        }
    }

    /** What follows from whatever the order was just told. */
    private void after() {
        double now = loop.now();
        boolean leads = order.leads(now);
        if (duty != null && (order.view() != dutyView || !order.self().equals(order.leader(now)) && !leads
            && order.leader(now) != null)) {
            endDuty();
        }
        if (leads && duty == null) {
            dutyView = order.view();
            duty = new Duty(loop, settings, dutyView, () -> order.leads(loop.now()), this::tell,
                this::tellAll);
            duty.configured(almanac.configuration());
            LOG.info("duty.begins view={} members={}", dutyView, order.members());
            sendStandings();
        }
        wakeOrder();
    }

    private void endDuty() {
        LOG.info("duty.ends view={}", dutyView);
        duty.end();
        duty = null;
        fronts.clear();
        callers.values().forEach(c -> c.front = null);
    }

    private void standings() {
        sendStandings();
        byte[] word = coder.write(new Words.Hello(settings.ip));
        peers.values().stream().filter(p -> p.up).forEach(p -> p.link.send(word));
        if (++standings % COMPARED == 0) {
            compare();
        }
        loop.after(settings.beat / STANDINGS, this::standings);
    }

    // ---- Repair ----

    /** Tells the leader what our copy of the state comes to; the leader compares all copies. */
    private void compare() {
        Member leader = order.leader(loop.now());
        List<Long> own = Ranges.digests(almanac.items());
        if (order.leads(loop.now())) {
            mender.compare(settings.ip, order.members().stream().map(Member::ip).toList(), order.delivered(),
                own);
        } else if (leader != null && !order.isStranger()) {
            tellPeer(leader.ip(), new Words.Copy(settings.ip, order.delivered(), own));
        }
    }

    private void tellPeer(String ip, Object word) {
        Peer p = peers.get(ip);
        if (p != null && p.up) {
            p.link.send(coder.write(word));
        }
    }

    /** A member says that it has these items where we have others: most hold them. */
    private void mend(Words.Mend word) {
        Member leader = order.leader(loop.now());
        boolean asked = word.ip().equals(askedFrom);
        askedFrom = "";
        boolean leads = leader != null && leader.ip().equals(word.ip());
        if (word.place() != order.delivered() || !asked && !leads) {
            return;
        }
        try {
            almanac.mend(Ranges.replaced(almanac.items(), word.ranges(), word.items()));
            order.renew(loop.now());
            LOG.warn("state.mended from={} place={} version={}", word.ip(), word.place(), almanac.version());
            news();
        } catch (BadConfiguration e) {
            LOG.warn("state.mend_refused from={} why=\"{}\"", word.ip(), e.getMessage());
        }
    }

    private void sendStandings() {
        byte[] word = coder.write(standing());
        callers.keySet().forEach(l -> l.send(word));
    }

    private Words.Standing standing() {
        Member leader = order.leader(loop.now());
        return new Words.Standing(order.view(), leader == null ? "" : leader.ip(),
            order.members().stream().map(Member::ip).toList());
    }

    private void summary() {
        LOG.info("summary member={} view={} leads={} delivered={} version={} fronts={} reads={} changes={}"
            + " refused={} disk_failing={} ranges_differed={} undecided={}", order.self(), order.view(),
            order.leads(loop.now()), order.delivered(), almanac.version(), fronts.size(), reads, changes,
            refused, writer.isFailing(), mender.differing(), mender.undecided());
        if (duty != null) {
            duty.log();
        }
        loop.after(SUMMARY, this::summary);
    }

    // ---- The order's outlet ----

    @Override
    public void send(Member to, Letter letter) {
        post(to, letter);
    }

    private void post(Member to, Letter letter) {
        Peer p = peers.get(to.ip());
        if (p != null && p.up) {
            p.link.send(coder.write(new Letter.Post(order.self(), to, letter)));
        }
    }

    @Override
    public void save(Change change) {
        writer.save(change);
    }

    private void onSaved(long ticket) {
        order.saved(loop.now(), ticket);
        after();
    }

    private Change whole() {
        return order.whole();
    }

    @Override
    public void deliver(long place, byte[] command) {
        try {
            Words.Command c = (Words.Command) coder.read(command);
            Almanac.Verdict verdict = almanac.take(c.whole(), c.on(), c.body());
            Waiter waiter = waiters.remove(c.mark());
            if (verdict.status() == Almanac.TAKEN) {
                LOG.info("config.taken version={} place={}", almanac.version(), place);
                news();
            } else {
                refused++;
            }
            if (waiter != null) {
                answer(waiter.call, verdict.status(), verdict.text());
            }
        } catch (BadWord e) {
            throw new IllegalStateException("a command that was ordered can't be read: " + e.getMessage(), e);
        }
    }

    @Override
    public void restore(long place, byte[] state) {
        almanac.restore(state);
        news();
    }

    @Override
    public byte[] state() {
        return almanac.state();
    }

    // ---- Operators ----

    private void run(Call call) {
        double now = loop.now();
        if (call instanceof Call.Bad b) {
            answer(b, b.status(), b.text());
        } else if (call instanceof Call.Status) {
            call.from().answer(200, List.of("Content-Type: text/plain"), status());
        } else if (!order.leads(now)) {
            Member leader = order.leader(now);
            if (leader == null || leader.equals(order.self())) {
                answer(call, 503, "no leader is known here just now");
            } else {
                InetSocketAddress there = new InetSocketAddress(leader.ip(), settings.control.getPort());
                call.from().answer(307, List.of("Location: http://" + Address.text(there) + call.target()),
                    "");
            }
        } else if (call instanceof Call.Read) {
            reads++;
            if (almanac.version() == 0) {
                answer(call, 404, "there is no configuration yet");
            } else {
                call.from().answer(200, List.of("Content-Type: application/json"), almanac.text());
            }
        } else if (call instanceof Call.Change c) {
            changes++;
            long mark = order.view() << 32 | ++commands;
            waiters.put(mark, new Waiter(c));
            loop.after(ANSWER, () -> {
                if (waiters.remove(mark) != null) {
                    answer(c, 503, "not agreed on in time; it may still be");
                }
            });
            order.submit(now, coder.write(new Words.Command(mark, c.whole(), c.on(), c.body())));
            after();
        }
    }

    private void answer(Call call, int status, String text) {
        String body = status == 200 ? "{\"Version\":" + almanac.version() + "}"
            : gingerspool.wire.Json.write(Map.of("Error", text));
        call.from().answer(status, List.of("Content-Type: application/json"),
            body.getBytes(StandardCharsets.UTF_8));
    }

    private String status() {
        List<String> lines = new ArrayList<>();
        lines.add("member " + order.self() + " view " + order.view() + " leader " + order.leader(loop.now()));
        lines.add("members " + order.members());
        lines.add("version " + almanac.version() + " delivered " + order.delivered());
        callers.values().forEach(c -> {
            if (c.front != null) {
                lines.add("front " + c.front + " news " + c.news);
            }
        });
        if (duty != null) {
            lines.addAll(duty.keeper.status());
        }
        return String.join("\n", lines) + "\n";
    }

    // ---- Links ----

    @Override
    public boolean hasRoom() {
        return callers.size() < LINKS_MOST;
    }

    @Override
    public void outOfDescriptors() { }

    @Override
    public void accepted(AsynchronousSocketChannel channel) {
        Frames link = Frames.accepted(loop, channel, this);
        Caller c = new Caller();
        c.heardAt = loop.now();
        callers.put(link, c);
    }

    @Override
    public void up(Frames link) {
        peers.values().forEach(p -> p.up |= p.link == link);
    }

    @Override
    public void came(Frames link, byte[] frame) {
        Caller caller = callers.get(link);
        try {
            Object word = coder.read(frame);
            if (caller != null) {
                caller.heardAt = loop.now();
            }
            if (word instanceof Letter.Post p) {
                letter(p);
            } else if (caller != null) {
                front(link, caller, word);
            }
        } catch (BadWord e) {
            LOG.warn("link.bad_word why=\"{}\"", e.getMessage());
            link.close();
        }
    }

    private void letter(Letter.Post p) {
        Peer peer = peers.computeIfAbsent(p.from().ip(), k -> new Peer());
        peer.heardAt = loop.now();
        if (p.letter() instanceof Letter.Join || p.to().equals(order.self())) {
            if (peer.link == null) {
                connect(p.from().ip(), loop.now());
            }
            order.heard(loop.now(), p.from(), p.letter());
            after();
        }
    }

    @Override
    public void closed(Frames link) {
        Caller caller = callers.remove(link);
        if (caller != null && caller.front != null && fronts.remove(caller.front, link) && duty != null) {
            duty.keeper.lost(loop.now(), caller.front);
            toldFronts();
        }
        for (Peer p : peers.values()) {
            if (p.link == link) {
                p.link = null;
                p.up = false;
            }
        }
        listener.acceptOn();
    }

    // ---- Schedulers ----

    private void front(Frames link, Caller caller, Object word) {
        double now = loop.now();
        if (word instanceof Words.Copy c) {
            mender.told(c.ip(), c.place(), c.ranges());
        } else if (word instanceof Words.Ask a && a.place() == order.delivered()) {
            tellPeer(a.ip(), new Words.Mend(settings.ip, a.place(), a.ranges(),
                Ranges.items(almanac.items(), a.ranges())));
        } else if (word instanceof Words.Mend m) {
            mend(m);
        } else if (word instanceof Words.Hello h) {
            if (peers.containsKey(h.ip())) {
                peers.get(h.ip()).heardAt = now;
            } else {
                link.send(coder.write(standing()));
            }
        } else if (word instanceof Words.Enrol e) {
            if (duty != null && order.leads(now)) {
                caller.front = e.name();
                fronts.put(e.name(), link);
                duty.keeper.enrolled(now, e.name(), e);
                link.send(coder.write(new Words.Enrolled(order.view())));
                caller.news = e.news();
                tellNews(link, caller, e.news(), false);
                toldFronts();
            } else {
                link.send(coder.write(standing()));
            }
        } else if (caller.front != null && duty != null) {
            if (word instanceof Words.Want w) {
                duty.keeper.want(now, caller.front, w);
            } else if (word instanceof Words.Back b) {
                duty.keeper.back(now, caller.front, b);
            } else if (word instanceof Words.Heard h) {
                heard(link, caller, h);
            } else if (word instanceof Words.Holds h && !duty.keeper.holds(now, caller.front, h)) {
                LOG.warn("front.slots_differed front={}", caller.front);
            }
        }
    }

    /** Counts the acknowledgement; a copy that differs from ours under its number is sent again. */
    private void heard(Frames link, Caller caller, Words.Heard h) {
        caller.news = Math.max(caller.news, h.number());
        boolean differs = h.number() == newsNumber && h.digest() != newsDigest;
        if (h.number() > 0 && differs && loop.now() > caller.newsAt + settings.beat) {
            LOG.warn("front.copy_differs front={} version={}", caller.front, h.number());
            tellNews(link, caller, 0, true);
        } else if (h.number() < newsNumber && loop.now() > newsAt + settings.beat) {
            tellNews(link, caller, h.number(), false);
        }
    }

    private void toldFronts() {
        tellAll(new Words.Schedulers(fronts.size()));
    }

    private void tell(String front, Object word) {
        Frames link = fronts.get(front);
        if (link != null) {
            link.send(coder.write(word));
        }
    }

    private void tellAll(Object word) {
        byte[] bytes = coder.write(word);
        fronts.values().forEach(l -> l.send(bytes));
    }

    /** The configuration has changed. */
    private void news() {
        byte[] form = almanac.configuration().toByteArray();
        newsDigest = Ranges.digest(form);
        newsNumber = almanac.version();
        newsAt = loop.now();
        if (duty != null) {
            duty.configured(almanac.configuration());
            tellAll(new Words.News(almanac.version(), form, false));
        }
    }

    private void tellNews(Frames link, Caller caller, long has, boolean again) {
        byte[] form = almanac.configuration().toByteArray();
        // Guards schedulers, which never go back: a copy that is not what was taken is told to nobody.
        if (newsNumber > has && Ranges.digest(form) == newsDigest) {
            caller.newsAt = loop.now();
            link.send(coder.write(new Words.News(newsNumber, form, again)));
        }
    }
}
