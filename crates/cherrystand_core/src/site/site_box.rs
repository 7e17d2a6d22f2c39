//! A box or plain endpoint as it tells of itself.

use std::net::SocketAddr;

use crate::{BoxId, DomainId, Epoch, Millis, ServiceName, ZoneId};

/// Says how far a box is with its replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// It loads or connects.
    Joining,
    /// It has joined.
    Ready,
    /// It leads a replica that serves.
    Open,
    /// It leads a replica that finishes what it has.
    Closing,
    /// It leads a replica that came apart.
    Broken,
}

/// Says which replica a box belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The replica's name.
    pub replica: String,
    /// The epoch it joined.
    pub epoch: Epoch,
    /// Its rank; rank 0 leads.
    pub rank: u32,
    /// How far it is.
    pub state: MemberState,
}

/// Says when a box started, as far as it tells.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BoxStart {
    /// It does not tell.
    #[default]
    Unreported,
    /// It tells, in Unix milliseconds.
    At(u64),
    /// What it tells is no time.
    Malformed,
}

/// Describes one box, or one endpoint of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SiteBox {
    /// Its name, and its life where boxes tell of theirs.
    pub id: BoxId,
    /// When it started, as far as it tells.
    pub start: BoxStart,
    /// How many orders it took since it started.
    pub orders_taken: u64,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Where it takes requests and orders.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// How many requests it works on at a time.
    pub slots: u32,
    /// Whether it will leave.
    pub leaving: bool,
    /// How much longer it was cold as it told so, where it told; who keeps the box keeps until when instead.
    pub cold_remaining: Option<Millis>,
    /// Its fabric domain, where it has one.
    pub domain: Option<DomainId>,
    /// The models staged on its host.
    pub staged: Vec<String>,
    /// The models in its memory, as far as it told of them.
    pub loaded: Vec<String>,
    /// The replica it belongs to.
    pub member: Option<Member>,
}

impl SiteBox {
    /// Keeps what its memory held as it told last time, where it tells of no replica now.
    ///
    /// A box tells of its memory only while it belongs to a replica; until its process ends, under
    /// the same name, it joins the model of its last one again within 0.2 s, where a load takes 12 to
    /// 16 s.
    pub fn carry_over_loaded_models(&mut self, earlier: &Self) {
        if self.loaded.is_empty()
            && self.id == earlier.id
            && !self.has_restarted_since(earlier.orders_taken)
        {
            self.loaded.clone_from(&earlier.loaded);
        }
    }

    /// Tells whether it started anew since it told of `orders_taken`, as far as its orders show: they
    /// are counted anew, and it belongs to nothing.
    pub fn has_restarted_since(&self, orders_taken: u64) -> bool {
        self.member.is_none() && self.orders_taken < orders_taken
    }

    /// Tells whether a later telling says anything else than that it is there.
    pub fn differs_from(&self, later: &Self) -> bool {
        let same_count = Self { orders_taken: self.orders_taken, ..later.clone() };
        *self != same_count
    }

    /// Tells whether it belongs to a replica under an epoch.
    pub fn is_member_of(&self, replica: &str, epoch: Epoch) -> bool {
        let member = self.member.as_ref();
        member.is_some_and(|member| member.replica == replica && member.epoch == epoch)
    }
}
