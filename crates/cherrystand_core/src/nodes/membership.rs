//! Which daemons are there.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{Digest, Incarnation, Millis, NodeId, ZoneId, hash_bytes, mix};

/// After this long without news a daemon is suspected.
pub const SUSPECT_AFTER: Millis = Millis(2_000);

/// After this long without news a daemon counts as dead.
pub const DEAD_AFTER: Millis = Millis(5_000);

/// After this long a dead daemon is forgotten, so that boxes replaced every day do not pile up.
pub const FORGET_AFTER: Millis = Millis(600_000);

/// A gap this long between two of its own ticks tells a daemon that it was paused.
pub const PAUSE_GAP: Millis = Millis(1_500);

/// Describes one daemon as others pass it on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The daemon.
    pub node: NodeId,
    /// Its life; a later one outranks all news of earlier ones.
    pub incarnation: Incarnation,
    /// Counts the ticks of that life.
    pub beat: u64,
    /// Its zone.
    pub zone: ZoneId,
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// What its link carries, in Mbit/s; 0 where that is not known.
    pub link_mbps: u32,
    /// Whether it takes requests.
    pub serving: bool,
    /// Whether it reaches the platform, and so may decide for domains.
    pub decides: bool,
    /// Where peers read the changes of the store that it passes on, where it does.
    pub changes: Option<SocketAddr>,
    /// The sum of the versions of the configurations that it holds.
    pub config: u64,
}

impl Heartbeat {
    /// Sums what it says beside how often the daemon beat.
    fn fingerprint_without_beat(&self) -> u64 {
        let flags = u64::from(self.serving) | u64::from(self.decides) << 1;
        let parts = [
            hash_bytes(self.node.as_str().as_bytes()),
            self.incarnation.0,
            hash_bytes(self.zone.as_str().as_bytes()),
            hash_bytes(self.address.to_string().as_bytes()),
            u64::from(self.link_mbps),
            flags,
            self.changes.map_or(0, |changes| hash_bytes(changes.to_string().as_bytes())),
            self.config,
        ];
        parts.into_iter().fold(0, |fingerprint, part| mix(fingerprint.wrapping_mul(31) ^ part))
    }
}

/// Says what a daemon thinks of another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// News of it is fresh.
    Alive,
    /// News of it is late.
    Suspect,
    /// There has been no news of it for long.
    Dead,
}

#[derive(Clone, Debug)]
struct Member {
    heartbeat: Heartbeat,
    last_heard: Millis,
    /// The sum of the heartbeat without its beat.
    fingerprint: u64,
}

impl Member {
    fn new(heartbeat: Heartbeat, last_heard: Millis) -> Self {
        Self { fingerprint: heartbeat.fingerprint_without_beat(), heartbeat, last_heard }
    }

    fn is_dead(&self, now: Millis) -> bool {
        liveness_after(now.since(self.last_heard)) == Liveness::Dead
    }
}

/// Keeps what one daemon knows of the others, and notices its own pauses.
///
/// Source: docs/design/0006-configuration-and-membership.md.
#[derive(Clone, Debug)]
pub struct Membership {
    own: Heartbeat,
    members: BTreeMap<NodeId, Member>,
    last_tick: Millis,
}

impl Membership {
    /// Creates the view of a daemon that has just started.
    pub fn new(own: Heartbeat, now: Millis) -> Self {
        Self { own, members: BTreeMap::new(), last_tick: now }
    }

    /// Returns the daemon's own heartbeat.
    pub fn own(&self) -> &Heartbeat {
        &self.own
    }

    /// Says whether this daemon takes requests.
    pub fn set_serving(&mut self, serving: bool) {
        self.own.serving = serving;
    }

    /// Says whether this daemon may decide for domains.
    pub fn set_decides(&mut self, decides: bool) {
        self.own.decides = decides;
    }

    /// Beats once, and tells whether the daemon was paused since the last time.
    ///
    /// After a pause it is a new life: what it held or knew before counts for nothing.
    pub fn tick(&mut self, now: Millis) -> bool {
        let paused = now.since(self.last_tick) > PAUSE_GAP;
        self.last_tick = now;
        if paused {
            self.own.incarnation = self.own.incarnation.next();
            self.own.beat = 0;
        }
        self.own.beat += 1;
        self.members.retain(|_, member| now.since(member.last_heard) <= FORGET_AFTER);
        paused
    }

    /// Says which configurations this daemon holds.
    pub fn set_config(&mut self, config: u64) {
        self.own.config = config;
    }

    /// Takes in a heartbeat that came directly or by way of others, `age` after it was given, and
    /// tells whether it says anything new beside its beat.
    pub fn merge_heartbeat(&mut self, heartbeat: Heartbeat, age: Millis, now: Millis) -> bool {
        if heartbeat.node == self.own.node {
            self.refute(&heartbeat);
            return false;
        }
        let rank = |beat: &Heartbeat| (beat.incarnation, beat.beat);
        let last_heard = now - age;
        let Some(known) = self.members.get_mut(&heartbeat.node) else {
            self.members.insert(heartbeat.node.clone(), Member::new(heartbeat, last_heard));
            return true;
        };
        if rank(&known.heartbeat) >= rank(&heartbeat) {
            return false;
        }
        let before = liveness_after(now.since(known.last_heard));
        let says_the_same =
            known.heartbeat == Heartbeat { beat: known.heartbeat.beat, ..heartbeat.clone() };
        *known = match says_the_same {
            true => Member { heartbeat, last_heard, fingerprint: known.fingerprint },
            false => Member::new(heartbeat, last_heard),
        };
        !says_the_same || before != liveness_after(age)
    }

    /// Returns the sum of what is known of all daemons that are not dead, beside their beats.
    ///
    /// Two daemons with the same sum know the same daemons and the same of each.
    pub fn roster(&self, now: Millis) -> u64 {
        let known = self.members.values().filter(|member| !member.is_dead(now));
        known.fold(self.own.fingerprint_without_beat(), |fingerprint, member| {
            fingerprint.wrapping_add(member.fingerprint)
        })
    }

    /// Returns what a peer with a roster is told: the beats alone where it knows the rest.
    pub fn digest_for(&self, roster: u64, now: Millis) -> Digest {
        if roster != self.roster(now) {
            return Digest::Whole(self.digest(now));
        }
        let beats = self.in_order(now).map(|(heartbeat, age)| (heartbeat.beat, age)).collect();
        Digest::Beats { roster, beats }
    }

    /// Takes in what a peer told, `on_the_way` before, and tells whether that says anything new
    /// beside beats.
    ///
    /// Beats for another roster than the own one are left out; the next answer brings everything.
    pub fn merge_digest(&mut self, digest: Digest, on_the_way: Millis, now: Millis) -> bool {
        match digest {
            Digest::Whole(all) => {
                let mut news = false;
                for (heartbeat, age) in all {
                    news |= self.merge_heartbeat(heartbeat, age + on_the_way, now);
                }
                news
            }
            Digest::Beats { roster, beats } => {
                if roster == self.roster(now) {
                    self.merge_beats(&beats, on_the_way, now);
                }
                false
            }
        }
    }

    fn merge_beats(&mut self, beats: &[(u64, Millis)], on_the_way: Millis, now: Millis) {
        let before = self.members.range::<NodeId, _>(..&self.own.node);
        let own = before.filter(|(_, member)| !member.is_dead(now)).count();
        let known: Vec<&mut Member> =
            self.members.values_mut().filter(|member| !member.is_dead(now)).collect();
        // A list of another length is not one of this roster.
        if beats.len() != known.len() + 1 {
            return;
        }
        let others = beats[..own].iter().chain(&beats[own + 1..]);
        for (member, (beat, age)) in known.into_iter().zip(others) {
            if *beat > member.heartbeat.beat {
                member.heartbeat.beat = *beat;
                member.last_heard = now - (*age + on_the_way);
            }
        }
    }

    /// Lists the daemons that are not dead in the order of their names, the own one among them.
    fn in_order(&self, now: Millis) -> impl Iterator<Item = (&Heartbeat, Millis)> {
        let told = move |member: &Member| now.since(member.last_heard);
        let fresh = move |(_, member): &(&NodeId, &Member)| !member.is_dead(now);
        let own = &self.own.node;
        let before = self.members.range::<NodeId, _>(..own).filter(fresh);
        let after = self.members.range::<NodeId, _>(own..).filter(fresh);
        let before = before.map(move |(_, member)| (&member.heartbeat, told(member)));
        let after = after.map(move |(_, member)| (&member.heartbeat, told(member)));
        before.chain(std::iter::once((&self.own, Millis(0)))).chain(after)
    }

    /// Lists the daemons that hold the configurations that this one holds, and when each last told
    /// of it.
    pub fn agreement_times(&self) -> impl Iterator<Item = (&NodeId, Millis)> {
        let same =
            self.members.values().filter(|member| member.heartbeat.config == self.own.config);
        same.map(|member| (&member.heartbeat.node, member.last_heard))
    }

    /// Rises above news of a life of this daemon that it does not remember.
    fn refute(&mut self, received: &Heartbeat) {
        let own = (self.own.incarnation, self.own.beat);
        if (received.incarnation, received.beat) > own {
            self.own.incarnation = received.incarnation.next();
        }
    }

    /// Returns what this daemon thinks of another one.
    pub fn liveness(&self, node: &NodeId, now: Millis) -> Liveness {
        if node == &self.own.node {
            return Liveness::Alive;
        }
        match self.members.get(node) {
            Some(member) => liveness_after(now.since(member.last_heard)),
            None => Liveness::Dead,
        }
    }

    /// Returns the heartbeats to pass on, each with its age: the own one and those of daemons not
    /// dead.
    pub fn digest(&self, now: Millis) -> Vec<(Heartbeat, Millis)> {
        self.in_order(now).map(|(heartbeat, age)| (heartbeat.clone(), age)).collect()
    }

    /// Returns the daemons known to hold the configurations that this one holds, itself first.
    ///
    /// What a daemon holds never falls back, so old news counts as well as fresh news.
    pub fn agreeing(&self) -> impl Iterator<Item = &NodeId> {
        let others = self.members.values().map(|member| &member.heartbeat);
        let same = others.filter(|beat| beat.config == self.own.config);
        std::iter::once(&self.own).chain(same).map(|beat| &beat.node)
    }

    /// Returns the daemons that are alive, this one included.
    pub fn alive(&self, now: Millis) -> Vec<&Heartbeat> {
        let known = self.members.values();
        let alive =
            known.filter(|member| liveness_after(now.since(member.last_heard)) == Liveness::Alive);
        let mut beats = vec![&self.own];
        beats.extend(alive.map(|member| &member.heartbeat));
        beats
    }

    /// Returns every daemon known and what this one thinks of it, itself first.
    pub fn all(&self, now: Millis) -> Vec<(&Heartbeat, Liveness)> {
        let mut all = vec![(&self.own, Liveness::Alive)];
        let others = self.members.values();
        all.extend(others.map(|member| {
            let liveness = liveness_after(now.since(member.last_heard));
            (&member.heartbeat, liveness)
        }));
        all
    }
}

fn liveness_after(silence: Millis) -> Liveness {
    if silence > DEAD_AFTER {
        Liveness::Dead
    } else if silence > SUSPECT_AFTER {
        Liveness::Suspect
    } else {
        Liveness::Alive
    }
}
