package gingerspool.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.UUID;

/**
 * One member's part in the order of commands. A view has one leader, which puts commands in their
 * places; they are agreed on once enough members have them on disk. When the leader is silent a
 * member asks the others to stop: who grants it takes nothing more of older views. What the new
 * leader lacks or has beyond is trimmed by its own entries, which hold all that was agreed on, and
 * the view goes on with an entry of its own.
 *
 * <p>The leader also holds a lease: members stop for nobody else for a while after each of its
 * beats, so that no other can lead while most have answered lately. It stops trusting the lease a
 * quarter before its end.
 *
 * <p>Members change one at a time: who isn't heard of goes once another waits for its place, then
 * that one comes in. A member that lost its disk is another member. Times are milliseconds of a
 * steady clock.
 */
public final class Replica {
    /** The lease is trusted for this part of its span, since clocks may run a little apart. */
    private static final double TRUSTED = 0.75;

    /** Beats a lease. */
    private static final double BEATS = 6;

    /** A member that isn't heard of for so many leases gives its place to one that waits. */
    private static final double LOST = 2;

    /** The least members wanted, where there are machines for so many. */
    private static final int LEAST = 3;

    /** Entries, and bytes of them, after which a base takes their place. */
    private static final int ENTRIES_MOST = 64;

    private static final int BYTES_MOST = 1 << 20;

    private enum Role {
        STRANGER,
        FOLLOWING,
        ASKING,
        STANDING,
        LEADING
    }

    /** What a leader knows of another member, or of a stranger that it brings up. */
    private static final class Peer {
        long next;
        long has;
        double ackedAt = Double.NEGATIVE_INFINITY;
        double heardAt;
    }

    /** What waits until the disk has confirmed a ticket. */
    private record Waiting(long ticket, Runnable then) {}

    private final Set<Safeguard> disabled;
    private final ReplicaEnvironment out;
    private final SplittableRandom chance;
    private final double lease;
    private final int tolerated;
    private Member self;
    private double now;

    private long view;
    private Member granted;
    private Snapshot base;
    private final List<LogEntry> entries = new ArrayList<>();
    private List<Member> members;
    private int bytes;

    private Role role = Role.FOLLOWING;
    private Member leader;

    /** Until then nobody else is granted a view. */
    private double heldUntil;

    private double standAt;
    private double beatAt;
    private long agreed;
    private long delivered;
    private long ticket;
    private long savedTicket;

    /**
     * What this member last promised by its view and whom it granted it is on disk with this
     * ticket.
     */
    private long promise;

    /** Up to here our own entries are on disk. */
    private long synced;

    /** Counts how often entries were trimmed. */
    private long era;

    private final ArrayDeque<Waiting> waiting = new ArrayDeque<>();
    private final Set<Member> votes = new HashSet<>();

    /** The view that this member would stand for: beyond all that it was told of. */
    private long next;

    private final Map<Member, Peer> peers = new LinkedHashMap<>();

    /** Where the entry of the view led begins. */
    private long began;

    /**
     * A member as its disk left it. Who was there at the first start passes the founders and no
     * disk's content; any other without content is a stranger, which must be taken in.
     */
    public Replica(
            Member self,
            PersistedState disk,
            List<Member> founders,
            int tolerated,
            double lease,
            long seed,
            double now,
            ReplicaEnvironment out) {
        this(self, disk, founders, tolerated, lease, seed, now, out, Set.of());
    }

    /** The same without some safeguards: for tests only. */
    public Replica(
            Member self,
            PersistedState disk,
            List<Member> founders,
            int tolerated,
            double lease,
            long seed,
            double now,
            ReplicaEnvironment out,
            Set<Safeguard> disabled) {
        this.disabled = disabled;
        this.self = disk == null ? self : disk.self();
        this.tolerated = tolerated;
        this.lease = lease;
        this.out = out;
        this.now = now;
        chance = new SplittableRandom(seed);
        boolean founds = disk == null && founders.contains(self);
        base =
                disk != null
                        ? disk.snapshot()
                        : new Snapshot(0, 0, founds ? founders : List.of(), null);
        if (disk != null) {
            view = disk.term();
            granted = disk.votedFor();
            entries.addAll(disk.entries());
            entries.forEach(e -> bytes += size(e));
            synced = last();
        }
        findMembers();
        agreed = base.index();
        delivered = base.index();
        if (base.state() != null) {
            out.restore(base.index(), base.state());
        }
        // Guards the lease: what this member promised others before it ended must have run out. One
        // that it
        // had itself ended with its process, and nobody else was promised one in that view.
        boolean led = this.self.equals(granted);
        heldUntil =
                founds || led || !guarded(Safeguard.LEASE_WAITED_OUT_AFTER_RESTART)
                        ? now
                        : now + lease;
        standAt = heldUntil + lease * chance.nextDouble() / (led ? 2 * BEATS : 2);
        role = members.contains(this.self) ? Role.FOLLOWING : Role.STRANGER;
        if (disk == null) {
            save(1, base);
        }
    }

    // ---- What it is ----

    public Member self() {
        return self;
    }

    public long term() {
        return view;
    }

    public List<Member> members() {
        return members;
    }

    public boolean isLearner() {
        return role == Role.STRANGER;
    }

    /** Who leads, as far as known lately, or null. */
    public Member leader(double at) {
        return role == Role.LEADING ? leads(at) ? self : null : at < heldUntil ? leader : null;
    }

    /**
     * Whether this member leads, holds the lease, and has delivered all that was agreed on before
     * its view: only then it may answer for the state, and do what only one may.
     */
    public boolean leads(double at) {
        boolean ready = agreed >= began || !guarded(Safeguard.SERVE_AFTER_OWN_TERM_COMMITTED);
        return role == Role.LEADING && ready && at < leaseEnd();
    }

    /** What was delivered last. */
    public long appliedIndex() {
        return delivered;
    }

    private boolean guarded(Safeguard safeguard) {
        return !disabled.contains(safeguard);
    }

    private long last() {
        return base.index() + entries.size();
    }

    private long viewAt(long place) {
        return place == base.index() ? base.term() : entry(place).term();
    }

    private LogEntry entry(long place) {
        return entries.get((int) (place - base.index() - 1));
    }

    private static int size(LogEntry e) {
        return e.command() == null ? 0 : e.command().length;
    }

    private int quorum() {
        return members.size() / 2 + 1;
    }

    /** How many disks must hold an entry: more than may be lost, and more than half. */
    private int copies() {
        int most = guarded(Safeguard.MORE_COPIES_THAN_LOSSES) ? tolerated + 1 : 0;
        return Math.min(members.size(), Math.max(quorum(), most));
    }

    private double leaseEnd() {
        List<Double> acked = new ArrayList<>();
        for (Member m : members) {
            acked.add(m.equals(self) ? now : peer(m).ackedAt);
        }
        acked.sort(Collections.reverseOrder());
        double trusted = guarded(Safeguard.LEASE_TRUSTED_IN_PART) ? TRUSTED : 1 / TRUSTED;
        return acked.get(quorum() - 1) + trusted * lease;
    }

    private Peer peer(Member m) {
        return peers.computeIfAbsent(
                m,
                k -> {
                    Peer p = new Peer();
                    p.next = last() + 1;
                    p.heardAt = now;
                    return p;
                });
    }

    // ---- Disk ----

    /** Entries from this place on have changed, or only the promise where it is beyond the last. */
    private void save(long from, Snapshot newBase) {
        List<LogEntry> changed =
                from > last()
                        ? List.of()
                        : List.copyOf(
                                entries.subList((int) (from - base.index() - 1), entries.size()));
        out.persist(new LogWrite(++ticket, self, view, granted, from, changed, newBase));
        long upTo = last();
        long of = era;
        whenSaved(
                () -> {
                    // Guards against counting what was trimmed meanwhile: the change that trimmed
                    // it comes later.
                    if (of == era || !guarded(Safeguard.TRUNCATION_RESETS_DURABLE)) {
                        synced = Math.max(synced, upTo);
                        agree();
                    }
                });
    }

    private void whenSaved(Runnable then) {
        if (savedTicket >= ticket) {
            then.run();
        } else {
            waiting.add(new Waiting(ticket, then));
        }
    }

    /** The disk has this change and all before it. */
    public void persisted(double at, long upTo) {
        now = at;
        savedTicket = Math.max(savedTicket, upTo);
        while (!waiting.isEmpty() && waiting.peek().ticket() <= savedTicket) {
            waiting.poll().then().run();
        }
    }

    /**
     * The disk failed, and what it holds is unknown: everything, to be written anew under a new
     * ticket.
     */
    public LogWrite fullState() {
        return new LogWrite(
                ++ticket, self, view, granted, base.index() + 1, List.copyOf(entries), base);
    }

    // ---- Time ----

    public void tick(double at) {
        now = at;
        if (role == Role.LEADING) {
            if (now >= beatAt) {
                beat();
            }
            consider();
        } else if (role == Role.STRANGER) {
            if (now >= beatAt) {
                beatAt = now + lease / BEATS;
            }
        } else if (now >= standAt && now >= heldUntil) {
            ask();
        } else if (isCandidate() && now >= beatAt) {
            askVotes();
        }
    }

    /** When tick should be called next. */
    public double nextTick() {
        double stands = Math.max(standAt, heldUntil);
        return role == Role.LEADING || role == Role.STRANGER
                ? beatAt
                : isCandidate() ? Math.min(beatAt, stands) : stands;
    }

    private boolean isCandidate() {
        return role == Role.ASKING || role == Role.STANDING;
    }

    private void beat() {
        beatAt = now + lease / BEATS;
        for (Member m : members) {
            if (!m.equals(self)) {
                append(m);
            }
        }
        for (Member m : List.copyOf(peers.keySet())) {
            if (!members.contains(m) && now > peers.get(m).heardAt + LOST * lease) {
                peers.remove(m);
            } else if (!members.contains(m)) {
                append(m);
            }
        }
    }

    // ---- Stop: a new view ----

    /**
     * Guards the view that stands against a member that was cut off: it asks first whether enough
     * would stop for it, so that its views don't rise alone and put an end to the others' once it
     * is back.
     */
    private void ask() {
        if (!members.contains(self)) {
            return;
        }
        if (!guarded(Safeguard.PRE_VOTE)) {
            next = view + 1;
            stand();
            standAt = now + lease * (0.5 + chance.nextDouble() / 2);
            return;
        }
        role = Role.ASKING;
        leader = null;
        next = Math.max(next, view + 1);
        votes.clear();
        votes.add(self);
        standAt = now + lease * (0.5 + chance.nextDouble() / 2);
        askVotes();
        count();
    }

    private void asked(Member from, ConsensusMessage.PreVote l) {
        if (!members.contains(from)) {
            refuseStranger(from, l.term());
        } else {
            out.send(
                    from,
                    new ConsensusMessage.PreVoteReply(
                            l.term(),
                            mayStop(from, l.term()) && upToDate(l.lastView(), l.last()),
                            view));
        }
    }

    private void would(Member from, ConsensusMessage.PreVoteReply l) {
        next = Math.max(next, l.own() + 1);
        if (role == Role.ASKING && l.yes() && l.term() > view) {
            votes.add(from);
            count();
        }
    }

    private void stand() {
        role = Role.STANDING;
        view = Math.max(view + 1, next);
        granted = self;
        votes.clear();
        beatAt = standAt;
        promise();
        long asked = view;
        whenSaved(
                () -> {
                    if (role == Role.STANDING && view == asked) {
                        votes.add(self);
                        askVotes();
                        count();
                    }
                });
    }

    /** Asks those who have not granted yet, again and again: links may come up only now. */
    private void askVotes() {
        beatAt = now + lease / BEATS;
        for (Member m : members) {
            if (!votes.contains(m)) {
                out.send(
                        m,
                        role == Role.ASKING
                                ? new ConsensusMessage.PreVote(next, viewAt(last()), last())
                                : new ConsensusMessage.RequestVote(view, viewAt(last()), last()));
            }
        }
    }

    /** Puts the view and whom it was granted on disk. */
    private void promise() {
        save(last() + 1, null);
        promise = ticket;
    }

    private void stop(Member from, ConsensusMessage.RequestVote l) {
        if (!members.contains(from)) {
            refuseStranger(from, l.term());
            return;
        }
        boolean again = from.equals(granted) || !guarded(Safeguard.ONE_VOTE_PER_TERM);
        if (l.term() == view && again && role != Role.LEADING) {
            grant(from, l);
            return;
        }
        if (!mayStop(from, l.term())) {
            out.send(from, new ConsensusMessage.VoteReply(l.term(), false, false));
            return;
        }
        view = l.term();
        granted = null;
        follow(null);
        boolean upToDate = upToDate(l.lastView(), l.last());
        if (upToDate) {
            granted = from;
            standAt = now + lease * (0.5 + chance.nextDouble() / 2);
        }
        promise();
        if (upToDate) {
            grant(from, l);
        }
    }

    private void refuseStranger(Member from, long of) {
        // Only one who surely knows better may say so: what it says makes the other forget all it
        // has.
        boolean sure =
                leads(now) && membersAgreed() || !guarded(Safeguard.REMOVAL_TOLD_ONLY_UNDER_LEASE);
        out.send(from, new ConsensusMessage.VoteReply(of, false, sure));
    }

    /**
     * Who may still hold a lease by our promise may stand all the same: it holds none while it
     * does.
     */
    private boolean mayStop(Member from, long of) {
        boolean withheld = guarded(Safeguard.VOTE_WITHHELD_DURING_LEASE) && now < heldUntil;
        return of > view && (!withheld || from.equals(granted)) && !leads(now);
    }

    private boolean upToDate(long lastView, long last) {
        return !guarded(Safeguard.VOTE_ONLY_FOR_UP_TO_DATE_LOG)
                || lastView > viewAt(last())
                || lastView == viewAt(last()) && last >= last();
    }

    private void grant(Member to, ConsensusMessage.RequestVote l) {
        if (!guarded(Safeguard.VOTE_DURABLE_BEFORE_REPLY)) {
            out.send(to, new ConsensusMessage.VoteReply(l.term(), true, false));
            return;
        }
        whenSaved(
                () -> {
                    if (view == l.term()) {
                        out.send(to, new ConsensusMessage.VoteReply(l.term(), true, false));
                    }
                });
    }

    private void stopped(Member from, ConsensusMessage.VoteReply l) {
        if (l.stranger()) {
            forget();
        } else if (role == Role.STANDING && l.term() == view && l.granted()) {
            votes.add(from);
            count();
        }
    }

    private void count() {
        if (members.stream().filter(votes::contains).count() < quorum()) {
            return;
        }
        if (role == Role.ASKING) {
            stand();
        } else {
            goOn();
        }
    }

    /** We were put out, and others may have our place: what we have counts for nothing. */
    private void forget() {
        role = Role.STRANGER;
        self = new Member(self.ip(), UUID.randomUUID().toString());
        view = 0;
        granted = null;
        leader = null;
        entries.clear();
        bytes = 0;
        base = new Snapshot(0, 0, List.of(), null);
        members = List.of();
        synced = 0;
        agreed = 0;
        delivered = 0;
        era++;
        waiting.clear();
        out.persist(new LogWrite(++ticket, self, view, null, 1, List.of(), base));
    }

    private void follow(Member who) {
        if (role != Role.STRANGER) {
            role = Role.FOLLOWING;
        }
        leader = who;
        peers.clear();
    }

    private void goOn() {
        role = Role.LEADING;
        leader = self;
        peers.clear();
        members.forEach(this::peer);
        began = last() + 1;
        put(LogEntry.begin(view));
    }

    // ---- Replica ----

    /**
     * Puts a command in its place; false where this member does not lead. Delivery tells that it is
     * agreed on.
     */
    public boolean propose(double at, byte[] command) {
        now = at;
        if (!leads(now)) {
            return false;
        }
        put(LogEntry.command(view, command));
        return true;
    }

    private void put(LogEntry e) {
        entries.add(e);
        bytes += size(e);
        findMembers();
        save(last(), null);
        beat();
    }

    private void append(Member m) {
        Peer p = peer(m);
        if (p.next <= base.index()) {
            out.send(m, new ConsensusMessage.InstallSnapshot(view, base, agreed, now));
            p.next = base.index() + 1;
        } else {
            List<LogEntry> news =
                    List.copyOf(entries.subList((int) (p.next - base.index() - 1), entries.size()));
            out.send(
                    m,
                    new ConsensusMessage.AppendEntries(
                            view, p.next - 1, viewAt(p.next - 1), news, agreed, now));
            p.next = last() + 1;
        }
    }

    private void appended(Member from, ConsensusMessage.AppendReply l) {
        if (role != Role.LEADING || l.term() != view) {
            return;
        }
        Peer p = peer(from);
        p.heardAt = now;
        p.ackedAt = Math.max(p.ackedAt, l.sentAt());
        if (l.fitted()) {
            p.has = Math.max(p.has, l.last());
            agree();
        } else {
            p.next = Math.max(1, Math.min(p.next - 1, l.last() + 1));
            if (p.next <= last()) {
                append(from);
            }
        }
    }

    /** Finds what enough disks hold. */
    private void agree() {
        if (role != Role.LEADING) {
            return;
        }
        List<Long> has = new ArrayList<>();
        for (Member m : members) {
            long own = guarded(Safeguard.SYNC_BEFORE_ACKNOWLEDGE) ? synced : last();
            has.add(m.equals(self) ? own : peer(m).has);
        }
        has.sort(Comparator.reverseOrder());
        long most = has.get(copies() - 1);
        // Guards what older views left: it counts only with an entry of this view behind it.
        if (most > agreed && (viewAt(most) == view || !guarded(Safeguard.COMMIT_ONLY_OWN_TERM))) {
            agreed = most;
            deliver();
            beatAt = now;
        }
    }

    private void deliver() {
        while (delivered < Math.min(agreed, last())) {
            delivered++;
            LogEntry e = entry(delivered);
            if (e.command() != null) {
                out.apply(delivered, e.command());
            }
        }
        if (delivered - base.index() > ENTRIES_MOST
                || bytes > BYTES_MOST && delivered > base.index()) {
            rebase();
        }
    }

    /** Puts the state in place of what was delivered. */
    private void rebase() {
        List<Member> then = base.members();
        for (long i = base.index() + 1; i <= delivered; i++) {
            then = entry(i).members() != null ? entry(i).members() : then;
        }
        Snapshot made = new Snapshot(delivered, viewAt(delivered), then, out.snapshotState());
        entries.subList(0, (int) (delivered - base.index())).clear();
        base = made;
        bytes = entries.stream().mapToInt(Replica::size).sum();
        save(base.index() + 1, base);
    }

    /** The state was mended: what is kept of it on disk is made anew. */
    public void compact(double at) {
        now = at;
        if (!members.isEmpty()) {
            rebase();
        }
    }

    private boolean membersAgreed() {
        for (long i = Math.max(agreed, base.index()) + 1; i <= last(); i++) {
            if (entry(i).members() != null) {
                return false;
            }
        }
        return true;
    }

    private void findMembers() {
        members = base.members();
        for (LogEntry e : entries) {
            members = e.members() != null ? e.members() : members;
        }
    }

    // ---- Letters ----

    /** A letter for this member. */
    public void receive(double at, Member from, ConsensusMessage letter) {
        now = at;
        if (letter instanceof ConsensusMessage.PreVote l) {
            asked(from, l);
        } else if (letter instanceof ConsensusMessage.PreVoteReply l) {
            would(from, l);
        } else if (letter instanceof ConsensusMessage.RequestVote l) {
            stop(from, l);
        } else if (letter instanceof ConsensusMessage.VoteReply l) {
            stopped(from, l);
        } else if (letter instanceof ConsensusMessage.AppendEntries l) {
            if (heardLeader(from, l.term(), l.sentAt())) {
                take(from, l);
            }
        } else if (letter instanceof ConsensusMessage.InstallSnapshot l) {
            if (heardLeader(from, l.term(), l.sentAt())) {
                take(from, l);
            }
        } else if (letter instanceof ConsensusMessage.AppendReply l) {
            if (l.term() > view && role == Role.LEADING) {
                // Others have gone on without us.
                view = l.term();
                granted = null;
                follow(null);
                standAt = now + lease;
                promise();
            }
            appended(from, l);
        } else if (letter instanceof ConsensusMessage.JoinRequest) {
            join(from);
        } else if (letter instanceof ConsensusMessage.TimeoutNow l
                && l.term() == view
                && from.equals(leader)) {
            // The lease was given up by who held it.
            heldUntil = now;
            leader = null;
            standAt = l.heir().equals(self) ? now : now + lease / 2 * (1 + chance.nextDouble());
        }
    }

    private boolean heardLeader(Member from, long of, double sentAt) {
        if (of < view && guarded(Safeguard.OLD_TERMS_REFUSED)) {
            out.send(
                    from,
                    new ConsensusMessage.AppendReply(view, false, 0, Double.NEGATIVE_INFINITY));
            return false;
        }
        if (!from.equals(granted) || of > view) {
            view = of;
            granted = from;
            promise();
        }
        follow(from);
        heldUntil = Math.max(heldUntil, now + lease);
        standAt = heldUntil + lease * chance.nextDouble() / 2;
        return true;
    }

    private void take(Member from, ConsensusMessage.AppendEntries l) {
        long before = l.before();
        int skip = (int) Math.max(0, base.index() - before);
        if (before > last() || before >= base.index() && viewAt(before) != l.beforeView()) {
            out.send(
                    from,
                    new ConsensusMessage.AppendReply(
                            view, false, Math.min(last(), before - 1), l.sentAt()));
            return;
        }
        long changedFrom = last() + 1;
        for (int i = skip; i < l.entries().size(); i++) {
            long place = before + 1 + i;
            boolean differs =
                    !guarded(Safeguard.TRUNCATE_ONLY_ON_CONFLICT)
                            || place <= last() && viewAt(place) != l.entries().get(i).term();
            if (place <= last() && differs) {
                // Trim: what the leader does not have was never agreed on.
                entries.subList((int) (place - base.index() - 1), entries.size()).clear();
                if (guarded(Safeguard.TRUNCATION_RESETS_DURABLE)) {
                    synced = Math.min(synced, place - 1);
                }
                era++;
                changedFrom = Math.min(changedFrom, place);
            }
            if (place > last()) {
                entries.add(l.entries().get(i));
                changedFrom = Math.min(changedFrom, place);
            }
        }
        long fits = before + l.entries().size();
        if (changedFrom <= last()) {
            bytes = entries.stream().mapToInt(Replica::size).sum();
            findMembers();
            save(changedFrom, null);
        }
        accept(from, fits, l.agreed(), l.sentAt());
    }

    private void take(Member from, ConsensusMessage.InstallSnapshot l) {
        boolean forward = l.snapshot().index() > delivered || members.isEmpty();
        if (forward || !guarded(Safeguard.SNAPSHOT_ONLY_FORWARD)) {
            base = l.snapshot();
            era++;
            entries.clear();
            bytes = 0;
            synced = 0;
            findMembers();
            agreed = base.index();
            delivered = base.index();
            if (base.state() != null) {
                out.restore(base.index(), base.state());
            }
            save(base.index() + 1, base);
        }
        accept(from, l.snapshot().index(), l.agreed(), l.sentAt());
    }

    /**
     * What fits is on disk, or will be; tells the leader now what is and again once all of it is.
     */
    private void accept(Member from, long fits, long leaderAgreed, double sentAt) {
        if (role == Role.STRANGER && members.contains(self)) {
            role = Role.FOLLOWING;
        } else if (role != Role.STRANGER && !members.contains(self)) {
            role = Role.STRANGER;
        }
        long of = view;
        // Guards the lease through a restart: it counts only once its promise is on disk.
        boolean promised = savedTicket >= promise || !guarded(Safeguard.LEASE_COUNTS_DURABLE_VOTES);
        long durable = guarded(Safeguard.SYNC_BEFORE_ACKNOWLEDGE) ? synced : last();
        out.send(
                from,
                new ConsensusMessage.AppendReply(
                        view,
                        true,
                        Math.min(durable, fits),
                        promised ? sentAt : Double.NEGATIVE_INFINITY));
        if (synced < fits || !promised) {
            whenSaved(
                    () -> {
                        if (view == of && fits <= last()) {
                            out.send(
                                    from,
                                    new ConsensusMessage.AppendReply(
                                            view, true, Math.min(synced, fits), sentAt));
                        }
                    });
        }
        agreed = Math.max(agreed, Math.min(leaderAgreed, fits));
        deliver();
    }

    // ---- Members ----

    private void join(Member from) {
        if (role == Role.LEADING && !members.contains(from)) {
            Peer p = peers.get(from);
            if (p == null) {
                p = peer(from);
                // Whatever it has is not ours: it gets everything.
                p.next = 0;
                append(from);
            }
            p.heardAt = now;
        }
    }

    /** Changes one member where one is lost and another has been brought up; never two at once. */
    private void consider() {
        boolean behind = guarded(Safeguard.ONE_MEMBERSHIP_CHANGE_AT_A_TIME) && agreed < last();
        if (!leads(now) || behind) {
            return;
        }
        for (Map.Entry<Member, Peer> e : peers.entrySet()) {
            Member waits = e.getKey();
            if (members.contains(waits)
                    || e.getValue().has < agreed
                            && guarded(Safeguard.LEARNER_CAUGHT_UP_BEFORE_VOTING)
                    || now > e.getValue().heardAt + lease) {
                continue;
            }
            Member lost = replacedBy(waits);
            List<Member> next = new ArrayList<>(members);
            if (lost != null) {
                next.remove(lost);
            } else if (members.size() < Math.max(LEAST, 2 * tolerated + 1)) {
                next.add(waits);
            } else {
                continue;
            }
            put(LogEntry.members(view, next));
            return;
        }
    }

    /**
     * The member whose place this one may have: the same machine with another disk, else one long
     * silent.
     */
    private Member replacedBy(Member waits) {
        Member silent = null;
        for (Member m : members) {
            if (m.equals(self)) {
                continue;
            }
            if (m.ip().equals(waits.ip())) {
                return m;
            }
            silent = now > peer(m).heardAt + LOST * lease ? m : silent;
        }
        return silent != null && members.size() > 1 ? silent : null;
    }

    /** This member is about to leave: another is asked to lead at once. */
    public void leave(double at) {
        now = at;
        if (role == Role.LEADING) {
            Member heir = null;
            for (Member m : members) {
                heir = !m.equals(self) && (heir == null || peer(m).has > peer(heir).has) ? m : heir;
            }
            if (heir != null) {
                for (Member m : members) {
                    out.send(m, new ConsensusMessage.TimeoutNow(view, heir));
                }
            }
            follow(null);
            standAt = now + 4 * lease;
        }
    }
}
