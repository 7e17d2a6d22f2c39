//! Gossip membership of daemons.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{Digest, Incarnation, Millis, NodeId, ZoneId, hash_bytes, mix};

/// A daemon whose last heartbeat is older than this is suspected.
pub const SUSPECT_AFTER: Millis = Millis(2_000);

/// A daemon whose last heartbeat is older than this counts as dead.
pub const DEAD_AFTER: Millis = Millis(5_000);

/// A dead daemon is forgotten after this time, so that daemons of boxes replaced every day do not
/// accumulate.
pub const FORGET_AFTER: Millis = Millis(600_000);

/// A gap of this length between two of its own ticks shows a daemon that it was paused.
pub const PAUSE_GAP: Millis = Millis(1_500);

/// The state of one daemon, as gossiped by others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The daemon.
    pub node: NodeId,
    /// Its incarnation; a later one supersedes everything known of earlier ones.
    pub incarnation: Incarnation,
    /// Counts the ticks of that incarnation.
    pub beat: u64,
    /// Its zone.
    pub zone: ZoneId,
    /// The address at which its peers reach it.
    pub address: SocketAddr,
    /// The bandwidth of its network link, in Mbit/s; 0 if that is unknown.
    pub link_mbps: u32,
    /// Whether it takes requests.
    pub serving: bool,
    /// Whether it reaches the platform, and so may make decisions for domains.
    pub decides: bool,
    /// The address at which peers read the store's changes from it, if it serves them.
    pub changes: Option<SocketAddr>,
    /// A fingerprint of the versions of the configurations that it holds.
    pub config: u64,
}

impl Heartbeat {
    /// Hashes everything except the beat.
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

/// Whether a daemon is considered alive by another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// Its last heartbeat is recent.
    Alive,
    /// Its last heartbeat is older than [`SUSPECT_AFTER`].
    Suspect,
    /// Its last heartbeat is older than [`DEAD_AFTER`].
    Dead,
}

#[derive(Clone, Debug)]
struct Member {
    heartbeat: Heartbeat,
    last_heard: Millis,
    /// The fingerprint of the heartbeat without its beat.
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

/// Tracks the other daemons that one daemon knows, and detects its own pauses.
///
/// Source: docs/design/0006-configuration-and-membership.md.
#[derive(Clone, Debug)]
pub struct Membership {
    own: Heartbeat,
    members: BTreeMap<NodeId, Member>,
    last_tick: Millis,
}

impl Membership {
    /// Creates the membership of a daemon that has just started.
    pub fn new(own: Heartbeat, now: Millis) -> Self {
        Self { own, members: BTreeMap::new(), last_tick: now }
    }

    /// Returns the daemon's own heartbeat.
    pub fn own(&self) -> &Heartbeat {
        &self.own
    }

    /// Sets whether this daemon takes requests.
    pub fn set_serving(&mut self, serving: bool) {
        self.own.serving = serving;
    }

    /// Sets whether this daemon may make decisions for domains.
    pub fn set_decides(&mut self, decides: bool) {
        self.own.decides = decides;
    }

    /// Increments the beat, and returns whether the daemon was paused since the last tick.
    ///
    /// After a pause it starts a new incarnation: what it held or knew before is no longer valid.
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

    /// Sets the fingerprint of the configurations that this daemon holds.
    pub fn set_config(&mut self, config: u64) {
        self.own.config = config;
    }

    /// Merges a heartbeat that was sent `age` ago and received directly or through others; returns
    /// whether it changes anything but the beat.
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
        let is_unchanged =
            known.heartbeat == Heartbeat { beat: known.heartbeat.beat, ..heartbeat.clone() };
        *known = match is_unchanged {
            true => Member { heartbeat, last_heard, fingerprint: known.fingerprint },
            false => Member::new(heartbeat, last_heard),
        };
        !is_unchanged || before != liveness_after(age)
    }

    /// Returns a fingerprint of what is known of all daemons that are not dead, without their
    /// beats.
    ///
    /// Two daemons with the same fingerprint know the same daemons and the same of each.
    pub fn roster(&self, now: Millis) -> u64 {
        let known = self.members.values().filter(|member| !member.is_dead(now));
        known.fold(self.own.fingerprint_without_beat(), |fingerprint, member| {
            fingerprint.wrapping_add(member.fingerprint)
        })
    }

    /// Returns the digest for a peer with the given roster: only the beats if it knows the rest.
    pub fn digest_for(&self, roster: u64, now: Millis) -> Digest {
        if roster != self.roster(now) {
            return Digest::Whole(self.digest(now));
        }
        let beats = self.in_order(now).map(|(heartbeat, age)| (heartbeat.beat, age)).collect();
        Digest::Beats { roster, beats }
    }

    /// Merges a digest that a peer sent `transit_time` ago; returns whether it changes anything but
    /// beats.
    ///
    /// Beats for a roster other than the own one are ignored; the next answer contains everything.
    pub fn merge_digest(&mut self, digest: Digest, transit_time: Millis, now: Millis) -> bool {
        match digest {
            Digest::Whole(all) => {
                let mut has_changes = false;
                for (heartbeat, age) in all {
                    has_changes |= self.merge_heartbeat(heartbeat, age + transit_time, now);
                }
                has_changes
            }
            Digest::Beats { roster, beats } => {
                if roster == self.roster(now) {
                    self.merge_beats(&beats, transit_time, now);
                }
                false
            }
        }
    }

    fn merge_beats(&mut self, beats: &[(u64, Millis)], transit_time: Millis, now: Millis) {
        let before = self.members.range::<NodeId, _>(..&self.own.node);
        let own = before.filter(|(_, member)| !member.is_dead(now)).count();
        let known: Vec<&mut Member> =
            self.members.values_mut().filter(|member| !member.is_dead(now)).collect();
        // A list of another length does not belong to this roster.
        if beats.len() != known.len() + 1 {
            return;
        }
        let others = beats[..own].iter().chain(&beats[own + 1..]);
        for (member, (beat, age)) in known.into_iter().zip(others) {
            if *beat > member.heartbeat.beat {
                member.heartbeat.beat = *beat;
                member.last_heard = now - (*age + transit_time);
            }
        }
    }

    /// Lists the daemons that are not dead in the order of their names, including this one.
    fn in_order(&self, now: Millis) -> impl Iterator<Item = (&Heartbeat, Millis)> {
        let age_of = move |member: &Member| now.since(member.last_heard);
        let is_not_dead = move |(_, member): &(&NodeId, &Member)| !member.is_dead(now);
        let own = &self.own.node;
        let before = self.members.range::<NodeId, _>(..own).filter(is_not_dead);
        let after = self.members.range::<NodeId, _>(own..).filter(is_not_dead);
        let before = before.map(move |(_, member)| (&member.heartbeat, age_of(member)));
        let after = after.map(move |(_, member)| (&member.heartbeat, age_of(member)));
        before.chain(std::iter::once((&self.own, Millis(0)))).chain(after)
    }

    /// Lists the daemons that hold the same configurations as this one, and the time of the last
    /// heartbeat of each.
    pub fn agreement_times(&self) -> impl Iterator<Item = (&NodeId, Millis)> {
        let same =
            self.members.values().filter(|member| member.heartbeat.config == self.own.config);
        same.map(|member| (&member.heartbeat.node, member.last_heard))
    }

    /// Refutes a heartbeat of a later incarnation or beat of this daemon, which it does not
    /// remember, by starting a new incarnation.
    fn refute(&mut self, received: &Heartbeat) {
        let own = (self.own.incarnation, self.own.beat);
        if (received.incarnation, received.beat) > own {
            self.own.incarnation = received.incarnation.next();
        }
    }

    /// Returns whether this daemon considers another one alive.
    pub fn liveness(&self, node: &NodeId, now: Millis) -> Liveness {
        if node == &self.own.node {
            return Liveness::Alive;
        }
        match self.members.get(node) {
            Some(member) => liveness_after(now.since(member.last_heard)),
            None => Liveness::Dead,
        }
    }

    /// Returns the heartbeats to gossip, each with its age: its own and those of daemons that are
    /// not dead.
    pub fn digest(&self, now: Millis) -> Vec<(Heartbeat, Millis)> {
        self.in_order(now).map(|(heartbeat, age)| (heartbeat.clone(), age)).collect()
    }

    /// Returns the daemons known to hold the same configurations as this one, itself first.
    ///
    /// A daemon never goes back to an older configuration, so old heartbeats count as well.
    pub fn agreeing(&self) -> impl Iterator<Item = &NodeId> {
        let others = self.members.values().map(|member| &member.heartbeat);
        let same = others.filter(|beat| beat.config == self.own.config);
        std::iter::once(&self.own).chain(same).map(|beat| &beat.node)
    }

    /// Returns the daemons that are alive, including this one.
    pub fn alive(&self, now: Millis) -> Vec<&Heartbeat> {
        let known = self.members.values();
        let alive =
            known.filter(|member| liveness_after(now.since(member.last_heard)) == Liveness::Alive);
        let mut beats = vec![&self.own];
        beats.extend(alive.map(|member| &member.heartbeat));
        beats
    }

    /// Returns every known daemon with its liveness, this one first.
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
