package gingerspool.controlplane;

import gingerspool.codec.KryoCodec;
import gingerspool.codec.MalformedMessageException;
import gingerspool.codec.MessageTypes;
import gingerspool.codec.Messages;
import gingerspool.configuration.ConfigurationState;
import gingerspool.consensus.ConsensusMessage;
import gingerspool.consensus.LogWrite;
import gingerspool.consensus.Member;
import gingerspool.consensus.Replica;
import gingerspool.consensus.ReplicaEnvironment;
import gingerspool.consensus.ReplicaSettings;
import gingerspool.settings.NodeSettings;
import gingerspool.storage.DurableLog;
import gingerspool.storage.LogWriter;
import gingerspool.storage.RecoveredLog;
import gingerspool.storage.StorageException;
import gingerspool.wire.SingleThreadEventLoop;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * One process of the core: joins the replica with its disk, its links, the operators' calls and the
 * leader's duties. Everything happens on one loop; only the log has a thread besides. Decides
 * nothing itself.
 */
public final class ControlNode
        implements ReplicaEnvironment, LogWriter.Owner, InternalEndpoint.Owner {
    private static final Logger LOG = LogManager.getLogger(ControlNode.class);

    /** Announcements a heartbeat interval. */
    private static final double ANNOUNCEMENTS = 2;

    /** Copies of the state are compared at one in so many announcements. */
    private static final int COMPARED = 8;

    /** The leader's lease, in heartbeat intervals. */
    private static final double LEASE = 0.5;

    /** A call of the platform has failed without an answer by then, in heartbeat intervals. */
    private static final double PLATFORM_PATIENCE = 0.8;

    /** Links are looked after so often in a heartbeat interval. */
    private static final double MAINTAINED = 8;

    /** Milliseconds between two summaries in the log. */
    private static final double SUMMARY = 10_000;

    private final NodeSettings settings;
    final SingleThreadEventLoop loop;
    final ConfigurationState configurationState = new ConfigurationState();
    private final KryoCodec codec = new KryoCodec(MessageTypes.ALL);
    private final LogWriter writer;
    private final OperatorCalls calls;
    private final OperatorEndpoint operators;
    private final InternalEndpoint endpoint;
    private final PeerLinks peers;
    private final SchedulerRegistry schedulers;
    private Consumer<StorageException> whenUnusable = why -> {};
    private Runnable reloadSettings = () -> {};

    /** Null until the disk was read. */
    private Replica replica;

    private RepairExchange repair;

    private Leadership leadership;
    private LeaderWatch watch;

    /** Null until SIGTERM. */
    private GracefulShutdown stopping;

    /** The replica sees what is changed here. */
    private final List<String> seeds;

    private double wakesAt = Double.POSITIVE_INFINITY;
    private int announcements;

    public ControlNode(NodeSettings settings) throws IOException {
        this.settings = settings;
        loop = new SingleThreadEventLoop();
        writer = new LogWriter(new DurableLog(settings.data, settings.diskMb), loop::enter, this);
        calls =
                new OperatorCalls(
                        loop,
                        settings.control.getPort(),
                        codec,
                        configurationState,
                        () -> replica,
                        this::status);
        operators = new OperatorEndpoint(loop, settings.control, this::run);
        endpoint = new InternalEndpoint(loop, settings, codec, this);
        peers = new PeerLinks(loop, settings, codec);
        schedulers = new SchedulerRegistry(loop, settings, configurationState);
        seeds = new ArrayList<>(seedsOf(settings));
    }

    // ---- Start and end ----

    /** Answers operators at once, with 503 until the disk was read; takes part from then on. */
    public void begin(Consumer<StorageException> whenUnusable) {
        this.whenUnusable = whenUnusable;
        writer.start();
        loop.enter(
                () -> {
                    operators.begin();
                    summary();
                });
    }

    @Override
    public void unusable(StorageException why) {
        whenUnusable.accept(why);
    }

    /** Only an empty disk may be that of a first start; one that can't be read has lost votes. */
    @Override
    public void recovered(RecoveredLog found) {
        boolean founds = found.isEmpty() && settings.firstStart;
        if (found.isLost()) {
            LOG.error(
                    "log.lost why=\"no file of the log can be read: this member joins anew under"
                            + " another id\"");
        }
        List<Member> founders =
                founds
                        ? seedsOf(settings).stream()
                                .map(s -> new Member(s, Member.FOUNDER))
                                .toList()
                        : List.of();
        // Never the same twice, whatever was on a disk before: so not from a seed.
        String id = founds ? Member.FOUNDER : UUID.randomUUID().toString();
        replica =
                new Replica(
                        new Member(settings.ip, id),
                        found.state(),
                        founders,
                        new ReplicaSettings(
                                settings.tolerated,
                                LEASE * settings.beat,
                                seeds,
                                settings.name.hashCode()),
                        loop.now(),
                        this);
        repair =
                new RepairExchange(
                        loop,
                        settings.ip,
                        configurationState,
                        replica,
                        peers::send,
                        this::configured);
        watch = new LeaderWatch(settings.beat, loop.now());
        leadership = new Leadership(replica, this::beginDuties, this::endDuties);
        LOG.info(
                "start member={} members={} term={} version={}",
                replica.self(),
                replica.members(),
                replica.term(),
                configurationState.version());
        endpoint.begin();
        afterReplica();
        maintainLinks();
        announceRegularly();
    }

    /** Whether the disk was read, so that this process is a member. */
    boolean isRecovered() {
        return replica != null;
    }

    boolean isLeading() {
        return replica != null && replica.leads(loop.now());
    }

    boolean isLearner() {
        return replica != null && replica.isLearner();
    }

    /** SIGTERM: hands over what it leads, stays until that is safe, answers who waits, ends. */
    public void stop(Runnable then) {
        loop.enter(
                () -> {
                    if (stopping != null) {
                        return;
                    }
                    LOG.info("stop.started");
                    stopping = new GracefulShutdown(loop, settings.grace, new Stopping(then));
                    if (replica != null) {
                        replica.leave(loop.now());
                        afterReplica();
                    }
                    stopping.begin();
                });
    }

    private final class Stopping implements GracefulShutdown.Process {
        private final Runnable then;

        Stopping(Runnable then) {
            this.then = then;
        }

        @Override
        public boolean mayStop() {
            return replica == null || replica.mayStop(loop.now());
        }

        @Override
        public boolean isOwingAnswers() {
            return calls.isOwingAnswers();
        }

        @Override
        public void closeToOperators() {
            LOG.info("stop.replaced={}", mayStop());
            operators.end();
        }

        @Override
        public void end() {
            // What was answered just now is still on its way out.
            loop.after(
                    settings.beat / MAINTAINED,
                    () -> {
                        writer.end();
                        then.run();
                    });
        }
    }

    /**
     * What is to be run where no leader is known for long, to have reload() called; before begin.
     */
    public void whenLost(Runnable reload) {
        reloadSettings = reload;
    }

    /** Where to look for the core where no member that is known answers. */
    public void reload(NodeSettings now) {
        loop.enter(
                () -> {
                    if (!seeds.equals(seedsOf(now))) {
                        seeds.clear();
                        seeds.addAll(seedsOf(now));
                        LOG.info("settings.reloaded seeds={}", seeds);
                    }
                });
    }

    private static List<String> seedsOf(NodeSettings settings) {
        return settings.seeds.stream().map(a -> a.getAddress().getHostAddress()).toList();
    }

    /** Gives back all that the process's end would, where the process goes on. */
    public void close() {
        writer.end();
        loop.stop();
    }

    // ---- Time ----

    private void maintainLinks() {
        if (watch.isDue(replica.leader(loop.now()) != null, loop.now())) {
            reloadSettings.run();
        }
        peers.maintain(replica.contacts());
        endpoint.closeSilent();
        loop.after(settings.beat / MAINTAINED, this::maintainLinks);
    }

    private void wakeReplica() {
        double at = Math.max(replica.nextTick(), loop.now() + 1);
        if (at < wakesAt) {
            wakesAt = at;
            loop.after(
                    at - loop.now(),
                    () -> {
                        wakesAt = Double.POSITIVE_INFINITY;
                        replica.tick(loop.now());
                        afterReplica();
                    });
        }
    }

    /** What follows from whatever the replica was just told. */
    private void afterReplica() {
        leadership.update(loop.now());
        wakeReplica();
    }

    private LeaderDuties beginDuties(long term) {
        LeaderDuties duties =
                new LeaderDuties(
                        loop,
                        settings,
                        new PlatformClient(loop, settings.cloud, PLATFORM_PATIENCE * settings.beat),
                        term,
                        () -> replica.leads(loop.now()),
                        schedulers::tell,
                        schedulers::tellAll);
        duties.configured(configurationState.configuration());
        schedulers.lead(duties);
        announce();
        return duties;
    }

    /** Schedulers that hear only this member are told that it leads no more. */
    private void endDuties() {
        schedulers.leadNoMore();
        announce();
    }

    private void announceRegularly() {
        announce();
        peers.sendHeartbeats();
        if (++announcements % COMPARED == 0) {
            repair.compare();
        }
        loop.after(settings.beat / ANNOUNCEMENTS, this::announceRegularly);
    }

    private void announce() {
        endpoint.sendToAll(announcement());
    }

    private Messages.LeaderAnnouncement announcement() {
        Member leader = replica.leader(loop.now());
        return new Messages.LeaderAnnouncement(
                replica.term(),
                leader == null ? "" : leader.ip(),
                replica.members().stream().map(Member::ip).toList());
    }

    private void summary() {
        loop.after(SUMMARY, this::summary);
        if (replica == null) {
            LOG.info("summary member=none disk_failing={}", writer.isFailing());
            return;
        }
        LOG.info(
                "summary member={} term={} leads={} applied={} version={} schedulers={} {}"
                        + " disk_failing={} ranges_differed={} undecided={}",
                replica.self(),
                replica.term(),
                replica.leads(loop.now()),
                replica.appliedIndex(),
                configurationState.version(),
                schedulers.size(),
                calls.counters(),
                writer.isFailing(),
                repair.differing(),
                repair.undecided());
        if (leadership.duties() != null) {
            leadership.duties().log();
        }
    }

    // ---- The replica's environment ----

    @Override
    public void send(Member to, ConsensusMessage message) {
        peers.send(to.ip(), new ConsensusMessage.Envelope(replica.self(), to, message));
    }

    @Override
    public void persist(LogWrite write) {
        writer.save(write);
    }

    @Override
    public void persisted(long ticket) {
        replica.persisted(loop.now(), ticket);
        afterReplica();
    }

    @Override
    public LogWrite fullState() {
        return replica.fullState();
    }

    @Override
    public void apply(long index, byte[] command) {
        try {
            Messages.ChangeCommand c = (Messages.ChangeCommand) codec.read(command);
            long before = configurationState.version();
            ConfigurationState.Verdict verdict =
                    configurationState.take(c.whole(), c.on(), c.body());
            if (configurationState.version() != before) {
                LOG.info(
                        "config.committed version={} index={}",
                        configurationState.version(),
                        index);
                configured();
            }
            calls.applied(c.id(), verdict);
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(
                    "a command that was committed can't be read: " + e.getMessage(), e);
        }
    }

    @Override
    public void restore(long index, byte[] state) {
        configurationState.restore(state);
        configured();
    }

    @Override
    public byte[] snapshotState() {
        return configurationState.state();
    }

    /** The configuration has changed. */
    private void configured() {
        if (leadership != null && leadership.duties() != null) {
            leadership.duties().configured(configurationState.configuration());
        }
        schedulers.configured();
    }

    // ---- Operators ----

    private void run(OperatorCall call) {
        calls.run(call);
        if (replica != null) {
            afterReplica();
        }
    }

    private String status() {
        List<String> lines = new ArrayList<>();
        Member leader = replica.leader(loop.now());
        lines.add("member " + replica.self() + " term " + replica.term() + " leader " + leader);
        lines.add("members " + replica.members());
        lines.add("version " + configurationState.version() + " applied " + replica.appliedIndex());
        lines.addAll(schedulers.status());
        if (leadership.duties() != null) {
            lines.addAll(leadership.duties().allocator.status());
        }
        return String.join("\n", lines) + "\n";
    }

    // ---- Messages of other processes ----

    @Override
    public void received(InternalEndpoint.Link link, Object message) {
        if (message instanceof ConsensusMessage.Envelope m) {
            receivedByReplica(m);
        } else if (message instanceof Messages.ReplicaDigest m) {
            repair.received(m);
        } else if (message instanceof Messages.RangeRequest m) {
            repair.received(m);
        } else if (message instanceof Messages.RangeRepair m) {
            repair.received(m);
        } else if (message instanceof Messages.Heartbeat m) {
            if (!peers.heardHeartbeat(m.ip())) {
                link.send(announcement());
            }
        } else if (message instanceof Messages.Register m) {
            register(link, m);
        } else {
            schedulers.received(link, message);
        }
    }

    private void receivedByReplica(ConsensusMessage.Envelope m) {
        peers.heardMember(m.from().ip());
        if (m.isFor(replica.self())) {
            peers.connectBack(m.from().ip());
            replica.receive(loop.now(), m.from(), m.message());
            afterReplica();
        } else {
            replica.hear(m.from());
        }
    }

    private void register(InternalEndpoint.Link link, Messages.Register message) {
        if (leadership.duties() != null && replica.leads(loop.now())) {
            schedulers.register(link, message, replica.term());
        } else {
            link.send(announcement());
        }
    }

    @Override
    public void closed(InternalEndpoint.Link link) {
        schedulers.closed(link);
    }
}
