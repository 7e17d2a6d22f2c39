//! Which daemons are there.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{Incarnation, Millis, NodeId, ZoneId};

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

/// Says what a daemon thinks of another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
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
    heard: Millis,
}

/// Keeps what one daemon knows of the others, and notices its own pauses.
///
/// Source: docs/design/0006-configuration-and-membership.md.
#[derive(Clone, Debug)]
pub struct Membership {
    own: Heartbeat,
    members: BTreeMap<NodeId, Member>,
    ticked: Millis,
}

impl Membership {
    /// Creates the view of a daemon that has just started.
    pub fn new(own: Heartbeat, now: Millis) -> Self {
        Self { own, members: BTreeMap::new(), ticked: now }
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
        let paused = now.since(self.ticked) > PAUSE_GAP;
        self.ticked = now;
        if paused {
            self.own.incarnation = self.own.incarnation.next();
            self.own.beat = 0;
        }
        self.own.beat += 1;
        self.members.retain(|_, member| now.since(member.heard) <= FORGET_AFTER);
        paused
    }

    /// Says which configurations this daemon holds.
    pub fn set_config(&mut self, config: u64) {
        self.own.config = config;
    }

    /// Takes in a heartbeat that came directly or by way of others, `age` after it was given.
    pub fn hear(&mut self, heartbeat: Heartbeat, age: Millis, now: Millis) {
        if heartbeat.node == self.own.node {
            self.outlive(&heartbeat);
            return;
        }
        let rank = |beat: &Heartbeat| (beat.incarnation, beat.beat);
        let heard = now - age;
        match self.members.get_mut(&heartbeat.node) {
            Some(known) if rank(&known.heartbeat) >= rank(&heartbeat) => {}
            Some(known) => *known = Member { heartbeat, heard },
            None => {
                let node = heartbeat.node.clone();
                self.members.insert(node, Member { heartbeat, heard });
            }
        }
    }

    /// Rises above news of a life of this daemon that it does not remember.
    fn outlive(&mut self, heard: &Heartbeat) {
        let own = (self.own.incarnation, self.own.beat);
        if (heard.incarnation, heard.beat) > own {
            self.own.incarnation = heard.incarnation.next();
        }
    }

    /// Returns what this daemon thinks of another one.
    pub fn standing(&self, node: &NodeId, now: Millis) -> Standing {
        if node == &self.own.node {
            return Standing::Alive;
        }
        match self.members.get(node) {
            Some(member) => standing_after(now.since(member.heard)),
            None => Standing::Dead,
        }
    }

    /// Returns the heartbeats to pass on, each with its age: the own one and those of daemons not
    /// dead.
    pub fn digest(&self, now: Millis) -> Vec<(Heartbeat, Millis)> {
        let known = self.members.values();
        let aged = known.map(|member| (member.heartbeat.clone(), now.since(member.heard)));
        let fresh = aged.filter(|(_, age)| standing_after(*age) != Standing::Dead);
        let mut digest = vec![(self.own.clone(), Millis(0))];
        digest.extend(fresh);
        digest
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
            known.filter(|member| standing_after(now.since(member.heard)) == Standing::Alive);
        let mut beats = vec![&self.own];
        beats.extend(alive.map(|member| &member.heartbeat));
        beats
    }

    /// Returns every daemon known and what this one thinks of it, itself first.
    pub fn all(&self, now: Millis) -> Vec<(&Heartbeat, Standing)> {
        let mut all = vec![(&self.own, Standing::Alive)];
        let others = self.members.values();
        all.extend(others.map(|member| {
            let standing = standing_after(now.since(member.heard));
            (&member.heartbeat, standing)
        }));
        all
    }
}

fn standing_after(silence: Millis) -> Standing {
    if silence > DEAD_AFTER {
        Standing::Dead
    } else if silence > SUSPECT_AFTER {
        Standing::Suspect
    } else {
        Standing::Alive
    }
}
