package gingerspool.controlplane;

import gingerspool.antientropy.RangeDigests;
import gingerspool.antientropy.ReplicaRepair;
import gingerspool.codec.KryoCodec;
import gingerspool.codec.MalformedMessageException;
import gingerspool.codec.MessageTypes;
import gingerspool.codec.Messages;
import gingerspool.configuration.ConfigurationState;
import gingerspool.configuration.InvalidConfigurationException;
import gingerspool.consensus.ConsensusMessage;
import gingerspool.consensus.LogWrite;
import gingerspool.consensus.Member;
import gingerspool.consensus.PersistedState;
import gingerspool.consensus.Replica;
import gingerspool.consensus.ReplicaEnvironment;
import gingerspool.daemon.Loop;
import gingerspool.settings.Settings;
import gingerspool.storage.DurableLog;
import gingerspool.storage.LogWriter;
import gingerspool.storage.StorageException;
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
 * One process of the core: joins the order of commands with its disk, its links, the operators'
 * door and the duty. Everything happens on one loop; only the ledger has a thread besides. Decides
 * nothing itself.
 */
public final class ControlNode implements ReplicaEnvironment, Frames.Owner, Listener.Owner {
    private static final Logger LOG = LogManager.getLogger(ControlNode.class);
    private static final int LINKS_MOST = 1024;

    /** Beats a heartbeat interval to schedulers, and the span of a lease in such intervals. */
    private static final double STANDINGS = 2;

    /** Copies of the state are compared at one in so many of these beats. */
    private static final int COMPARED = 8;

    private static final double LEASE = 0.5;

    /**
     * A link is given up after so many intervals of silence; connecting may take this part of one.
     */
    private static final double SILENT = 1.5;

    private static final double CONNECT = 0.25;

    /**
     * Operators who called are answered within this part of a second of silence that they allow.
     */
    private static final double ANSWER = 800;

    private static final double SUMMARY = 10_000;

    private final Settings settings;
    final Loop loop;
    private final KryoCodec coder = new KryoCodec(MessageTypes.ALL);
    final ConfigurationState configurationState = new ConfigurationState();
    private final Replica replica;
    private final LogWriter writer;
    private final OperatorEndpoint door;
    private final Listener listener;

    /**
     * Our own links to the other machines of the core, by address; and when each was last heard.
     */
    private final Map<String, Peer> peers = new HashMap<>();

    /** Links that others opened. */
    private final Map<Frames, Caller> callers = new LinkedHashMap<>();

    private final Map<String, Frames> fronts = new HashMap<>();
    private final Map<Long, Waiter> waiters = new HashMap<>();
    private long commands;
    private LeaderDuties duty;
    private long dutyView;
    private double orderWakes = Double.POSITIVE_INFINITY;
    private final ReplicaRepair mender =
            new ReplicaRepair(
                    new ReplicaRepair.Outlet() {
                        @Override
                        public void ask(String member, long place, int ranges) {
                            askedFrom = member;
                            tellPeer(member, new Messages.RangeRequest(settings.ip, place, ranges));
                        }

                        @Override
                        public void send(String member, long place, int ranges) {
                            tellPeer(
                                    member,
                                    new Messages.RangeRepair(
                                            settings.ip,
                                            place,
                                            ranges,
                                            RangeDigests.items(
                                                    configurationState.items(), ranges)));
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

    private record Waiter(OperatorCall.Change call) {}

    public ControlNode(Settings settings) throws IOException, StorageException {
        this.settings = settings;
        loop = new Loop();
        DurableLog ledger = new DurableLog(settings.data, settings.diskMb);
        PersistedState disk = ledger.open();
        boolean founds = disk == null && settings.firstStart;
        List<Member> founders =
                founds
                        ? settings.seeds.stream()
                                .map(
                                        a ->
                                                new Member(
                                                        a.getAddress().getHostAddress(),
                                                        Member.FOUNDER))
                                .toList()
                        : List.of();
        // Never the same twice, whatever was on a disk before: so not from a seed.
        String mark = founds ? Member.FOUNDER : UUID.randomUUID().toString();
        writer = new LogWriter(ledger, loop::enter, this::onSaved, this::whole);
        replica =
                new Replica(
                        new Member(settings.ip, mark),
                        disk,
                        founders,
                        settings.tolerated,
                        LEASE * settings.beat,
                        settings.name.hashCode(),
                        loop.now(),
                        this);
        door = new OperatorEndpoint(loop, settings.control, this::run);
        listener = new Listener(loop, new InetSocketAddress(settings.ip, settings.innerPort), this);
        LOG.info(
                "start member={} members={} term={} version={}",
                replica.self(),
                replica.members(),
                replica.term(),
                configurationState.version());
    }

    public void begin() {
        writer.start();
        loop.enter(
                () -> {
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
        loop.enter(
                () -> {
                    replica.leave(loop.now());
                    after();
                    door.end();
                    loop.after(
                            settings.beat / 8,
                            () -> {
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
        replica.members().forEach(m -> wanted.add(m.ip()));
        if (replica.isLearner() || replica.members().isEmpty()) {
            settings.seeds.forEach(a -> wanted.add(a.getAddress().getHostAddress()));
        }
        wanted.remove(settings.ip);
        wanted.forEach(ip -> connect(ip, now));
        for (Map.Entry<String, Peer> e : List.copyOf(peers.entrySet())) {
            Peer p = e.getValue();
            // Guards against links that a cut has left half dead: a new one works as soon as the
            // cut ends.
            boolean silent = p.up && now > Math.max(p.heardAt, p.triedAt) + SILENT * settings.beat;
            if (p.link != null
                    && (silent
                            || !wanted.contains(e.getKey())
                                    && now > p.heardAt + 4 * settings.beat)) {
                p.link.close();
            }
        }
        for (Map.Entry<Frames, Caller> e : List.copyOf(callers.entrySet())) {
            if (now > e.getValue().heardAt + SILENT * settings.beat) {
                e.getKey().close();
            }
        }
        if (replica.isLearner()) {
            wanted.forEach(
                    ip ->
                            post(
                                    new Member(ip, ""),
                                    new ConsensusMessage.JoinRequest(replica.term())));
        }
        loop.after(settings.beat / 8, this::look);
    }

    private void connect(String ip, double now) {
        Peer p = peers.computeIfAbsent(ip, k -> new Peer());
        if (p.link == null && now >= p.triedAt + settings.beat / 8) {
            p.triedAt = now;
            try {
                p.link =
                        Frames.open(
                                loop,
                                new InetSocketAddress(ip, settings.innerPort),
                                CONNECT * settings.beat,
                                this);
            } catch (IOException e) {
                LOG.warn("link.failed to={} why=\"{}\"", ip, e.getMessage());
            }
        }
    }

    private void wakeOrder() {
        double at = Math.max(replica.nextTick(), loop.now() + 1);
        if (at < orderWakes) {
            orderWakes = at;
            loop.after(
                    at - loop.now(),
                    () -> {
                        orderWakes = Double.POSITIVE_INFINITY;
                        replica.tick(loop.now());
                        after();
                    });
        }
    }

    /** What follows from whatever the order was just told. */
    private void after() {
        double now = loop.now();
        boolean leads = replica.leads(now);
        if (duty != null
                && (replica.term() != dutyView
                        || !replica.self().equals(replica.leader(now))
                                && !leads
                                && replica.leader(now) != null)) {
            endDuty();
        }
        if (leads && duty == null) {
            dutyView = replica.term();
            duty =
                    new LeaderDuties(
                            loop,
                            settings,
                            dutyView,
                            () -> replica.leads(loop.now()),
                            this::tell,
                            this::tellAll);
            duty.configured(configurationState.configuration());
            LOG.info("duty.begins term={} members={}", dutyView, replica.members());
            sendStandings();
        }
        wakeOrder();
    }

    private void endDuty() {
        LOG.info("duty.ends term={}", dutyView);
        duty.end();
        duty = null;
        fronts.clear();
        callers.values().forEach(c -> c.front = null);
    }

    private void standings() {
        sendStandings();
        byte[] word = coder.write(new Messages.Heartbeat(settings.ip));
        peers.values().stream().filter(p -> p.up).forEach(p -> p.link.send(word));
        if (++standings % COMPARED == 0) {
            compare();
        }
        loop.after(settings.beat / STANDINGS, this::standings);
    }

    // ---- Repair ----

    /** Tells the leader what our copy of the state comes to; the leader compares all copies. */
    private void compare() {
        Member leader = replica.leader(loop.now());
        List<Long> own = RangeDigests.digests(configurationState.items());
        if (replica.leads(loop.now())) {
            mender.compare(
                    settings.ip,
                    replica.members().stream().map(Member::ip).toList(),
                    replica.appliedIndex(),
                    own);
        } else if (leader != null && !replica.isLearner()) {
            tellPeer(
                    leader.ip(),
                    new Messages.ReplicaDigest(settings.ip, replica.appliedIndex(), own));
        }
    }

    private void tellPeer(String ip, Object word) {
        Peer p = peers.get(ip);
        if (p != null && p.up) {
            p.link.send(coder.write(word));
        }
    }

    /** A member says that it has these items where we have others: most hold them. */
    private void mend(Messages.RangeRepair word) {
        Member leader = replica.leader(loop.now());
        boolean asked = word.ip().equals(askedFrom);
        askedFrom = "";
        boolean leads = leader != null && leader.ip().equals(word.ip());
        if (word.index() != replica.appliedIndex() || !asked && !leads) {
            return;
        }
        try {
            configurationState.mend(
                    RangeDigests.replaced(configurationState.items(), word.ranges(), word.items()));
            replica.compact(loop.now());
            LOG.warn(
                    "state.mended from={} index={} version={}",
                    word.ip(),
                    word.index(),
                    configurationState.version());
            news();
        } catch (InvalidConfigurationException e) {
            LOG.warn("state.mend_refused from={} why=\"{}\"", word.ip(), e.getMessage());
        }
    }

    private void sendStandings() {
        byte[] word = coder.write(standing());
        callers.keySet().forEach(l -> l.send(word));
    }

    private Messages.LeaderAnnouncement standing() {
        Member leader = replica.leader(loop.now());
        return new Messages.LeaderAnnouncement(
                replica.term(),
                leader == null ? "" : leader.ip(),
                replica.members().stream().map(Member::ip).toList());
    }

    private void summary() {
        LOG.info(
                "summary member={} term={} leads={} delivered={} version={} fronts={} reads={} changes={}"
                        + " refused={} disk_failing={} ranges_differed={} undecided={}",
                replica.self(),
                replica.term(),
                replica.leads(loop.now()),
                replica.appliedIndex(),
                configurationState.version(),
                fronts.size(),
                reads,
                changes,
                refused,
                writer.isFailing(),
                mender.differing(),
                mender.undecided());
        if (duty != null) {
            duty.log();
        }
        loop.after(SUMMARY, this::summary);
    }

    // ---- The order's outlet ----

    @Override
    public void send(Member to, ConsensusMessage letter) {
        post(to, letter);
    }

    private void post(Member to, ConsensusMessage letter) {
        Peer p = peers.get(to.ip());
        if (p != null && p.up) {
            p.link.send(coder.write(new ConsensusMessage.Envelope(replica.self(), to, letter)));
        }
    }

    @Override
    public void persist(LogWrite change) {
        writer.save(change);
    }

    private void onSaved(long ticket) {
        replica.persisted(loop.now(), ticket);
        after();
    }

    private LogWrite whole() {
        return replica.fullState();
    }

    @Override
    public void apply(long index, byte[] command) {
        try {
            Messages.ChangeCommand c = (Messages.ChangeCommand) coder.read(command);
            ConfigurationState.Verdict verdict =
                    configurationState.take(c.whole(), c.on(), c.body());
            Waiter waiter = waiters.remove(c.mark());
            if (verdict.status() == ConfigurationState.TAKEN) {
                LOG.info("config.taken version={} index={}", configurationState.version(), index);
                news();
            } else {
                refused++;
            }
            if (waiter != null) {
                answer(waiter.call, verdict.status(), verdict.text());
            }
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(
                    "a command that was ordered can't be read: " + e.getMessage(), e);
        }
    }

    @Override
    public void restore(long index, byte[] state) {
        configurationState.restore(state);
        news();
    }

    @Override
    public byte[] snapshotState() {
        return configurationState.state();
    }

    // ---- Operators ----

    private void run(OperatorCall call) {
        double now = loop.now();
        if (call instanceof OperatorCall.Bad b) {
            answer(b, b.status(), b.text());
        } else if (call instanceof OperatorCall.Status) {
            call.from().answer(200, List.of("Content-Type: text/plain"), status());
        } else if (!replica.leads(now)) {
            Member leader = replica.leader(now);
            if (leader == null || leader.equals(replica.self())) {
                answer(call, 503, "no leader is known here just now");
            } else {
                InetSocketAddress there =
                        new InetSocketAddress(leader.ip(), settings.control.getPort());
                call.from()
                        .answer(
                                307,
                                List.of("Location: http://" + Address.text(there) + call.target()),
                                "");
            }
        } else if (call instanceof OperatorCall.Read) {
            reads++;
            if (configurationState.version() == 0) {
                answer(call, 404, "there is no configuration yet");
            } else {
                call.from()
                        .answer(
                                200,
                                List.of("Content-Type: application/json"),
                                configurationState.text());
            }
        } else if (call instanceof OperatorCall.Change c) {
            changes++;
            long mark = replica.term() << 32 | ++commands;
            waiters.put(mark, new Waiter(c));
            loop.after(
                    ANSWER,
                    () -> {
                        if (waiters.remove(mark) != null) {
                            answer(c, 503, "not agreed on in time; it may still be");
                        }
                    });
            replica.propose(
                    now,
                    coder.write(new Messages.ChangeCommand(mark, c.whole(), c.on(), c.body())));
            after();
        }
    }

    private void answer(OperatorCall call, int status, String text) {
        String body =
                status == 200
                        ? "{\"Version\":" + configurationState.version() + "}"
                        : gingerspool.wire.Json.write(Map.of("Error", text));
        call.from()
                .answer(
                        status,
                        List.of("Content-Type: application/json"),
                        body.getBytes(StandardCharsets.UTF_8));
    }

    private String status() {
        List<String> lines = new ArrayList<>();
        lines.add(
                "member "
                        + replica.self()
                        + " view "
                        + replica.term()
                        + " leader "
                        + replica.leader(loop.now()));
        lines.add("members " + replica.members());
        lines.add(
                "version " + configurationState.version() + " delivered " + replica.appliedIndex());
        callers.values()
                .forEach(
                        c -> {
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
    public void outOfDescriptors() {}

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
            if (word instanceof ConsensusMessage.Envelope p) {
                letter(p);
            } else if (caller != null) {
                front(link, caller, word);
            }
        } catch (MalformedMessageException e) {
            LOG.warn("link.bad_word why=\"{}\"", e.getMessage());
            link.close();
        }
    }

    private void letter(ConsensusMessage.Envelope p) {
        Peer peer = peers.computeIfAbsent(p.from().ip(), k -> new Peer());
        peer.heardAt = loop.now();
        if (p.letter() instanceof ConsensusMessage.JoinRequest || p.to().equals(replica.self())) {
            if (peer.link == null) {
                connect(p.from().ip(), loop.now());
            }
            replica.receive(loop.now(), p.from(), p.letter());
            after();
        }
    }

    @Override
    public void closed(Frames link) {
        Caller caller = callers.remove(link);
        if (caller != null
                && caller.front != null
                && fronts.remove(caller.front, link)
                && duty != null) {
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
        if (word instanceof Messages.ReplicaDigest c) {
            mender.told(c.ip(), c.index(), c.ranges());
        } else if (word instanceof Messages.RangeRequest a && a.index() == replica.appliedIndex()) {
            tellPeer(
                    a.ip(),
                    new Messages.RangeRepair(
                            settings.ip,
                            a.index(),
                            a.ranges(),
                            RangeDigests.items(configurationState.items(), a.ranges())));
        } else if (word instanceof Messages.RangeRepair m) {
            mend(m);
        } else if (word instanceof Messages.Heartbeat h) {
            if (peers.containsKey(h.ip())) {
                peers.get(h.ip()).heardAt = now;
            } else {
                link.send(coder.write(standing()));
            }
        } else if (word instanceof Messages.Register e) {
            if (duty != null && replica.leads(now)) {
                caller.front = e.name();
                fronts.put(e.name(), link);
                duty.keeper.enrolled(now, e.name(), e);
                link.send(coder.write(new Messages.Registered(replica.term())));
                caller.news = e.news();
                tellNews(link, caller, e.news(), false);
                toldFronts();
            } else {
                link.send(coder.write(standing()));
            }
        } else if (caller.front != null && duty != null && fronts.get(caller.front) == link) {
            // Guards the counts of slots: a scheduler that registered anew speaks on its new link.
            if (word instanceof Messages.SlotDemand w) {
                duty.keeper.want(now, caller.front, w);
            } else if (word instanceof Messages.SlotReturn b) {
                duty.keeper.back(now, caller.front, b);
            } else if (word instanceof Messages.ConfigurationAck h) {
                heard(link, caller, h);
            } else if (word instanceof Messages.SlotHoldings h
                    && !duty.keeper.holds(now, caller.front, h)) {
                LOG.warn("front.slots_differed front={}", caller.front);
            }
        }
    }

    /** Counts the acknowledgement; a copy that differs from ours under its number is sent again. */
    private void heard(Frames link, Caller caller, Messages.ConfigurationAck h) {
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
        tellAll(new Messages.SchedulerCount(fronts.size()));
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
        byte[] form = configurationState.configuration().toByteArray();
        newsDigest = RangeDigests.digest(form);
        newsNumber = configurationState.version();
        newsAt = loop.now();
        if (duty != null) {
            duty.configured(configurationState.configuration());
            tellAll(new Messages.ConfigurationPush(configurationState.version(), form, false));
        }
    }

    private void tellNews(Frames link, Caller caller, long has, boolean again) {
        byte[] form = configurationState.configuration().toByteArray();
        // Guards schedulers, which never go back: a copy that is not what was taken is told to
        // nobody.
        if (newsNumber > has && RangeDigests.digest(form) == newsDigest) {
            caller.newsAt = loop.now();
            link.send(coder.write(new Messages.ConfigurationPush(newsNumber, form, again)));
        }
    }
}
