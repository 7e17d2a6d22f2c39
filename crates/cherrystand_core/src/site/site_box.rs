//! A box, or an endpoint of a plain service, as its store entry describes it.

use std::net::SocketAddr;

use crate::{BoxId, DomainId, Epoch, Millis, ServiceName, ZoneId};

/// The state of a box within its replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// It loads the model or connects to the other members.
    Joining,
    /// It has joined.
    Ready,
    /// It leads a replica that serves.
    Open,
    /// It leads a replica that drains.
    Closing,
    /// It leads a replica that has lost a member.
    Broken,
}

/// The replica that a box belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The replica's name.
    pub replica: String,
    /// The epoch under which it joined.
    pub epoch: Epoch,
    /// Its rank; rank 0 leads.
    pub rank: u32,
    /// Its state.
    pub state: MemberState,
}

/// When a box started, if it reports that.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BoxStart {
    /// It doesn't report its start.
    #[default]
    Unreported,
    /// It started at this time, in Unix milliseconds.
    At(u64),
    /// What it reports is not a time.
    Malformed,
}

/// A box, or an endpoint of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SiteBox {
    /// Its name, with its incarnation where boxes report their starts.
    pub id: BoxId,
    /// When it started, if it reports that.
    pub start: BoxStart,
    /// How many orders it took since it started.
    pub orders_taken: u64,
    /// The service it belongs to.
    pub service: ServiceName,
    /// The address at which it takes requests and orders.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// How many requests it processes at a time.
    pub slots: u32,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// How much longer it was cold when it reported this, if it did; the list of boxes keeps the
    /// absolute time instead.
    pub cold_remaining: Option<Millis>,
    /// Its fabric domain, if it has one.
    pub domain: Option<DomainId>,
    /// The models on its host.
    pub staged: Vec<String>,
    /// The models in its memory, as far as it reported them.
    pub loaded: Vec<String>,
    /// The replica it belongs to.
    pub member: Option<Member>,
}

impl SiteBox {
    /// Keeps the models of its previous report if it belongs to no replica now.
    ///
    /// A box reports its memory only while it belongs to a replica. Until its process ends, under
    /// the same name, it rejoins the model of its last replica within 0.2 s, whereas a load takes
    /// 12 to 16 s.
    pub fn carry_over_loaded_models(&mut self, earlier: &Self) {
        if self.loaded.is_empty()
            && self.id == earlier.id
            && !self.has_restarted_since(earlier.orders_taken)
        {
            self.loaded.clone_from(&earlier.loaded);
        }
    }

    /// Returns whether its orders show that it restarted since it reported `orders_taken`: the
    /// count starts again, and it belongs to no replica.
    pub fn has_restarted_since(&self, orders_taken: u64) -> bool {
        self.member.is_none() && self.orders_taken < orders_taken
    }

    /// Returns whether a later report differs by more than its order count, that is, is not just a
    /// heartbeat.
    pub fn differs_from(&self, later: &Self) -> bool {
        let same_count = Self { orders_taken: self.orders_taken, ..later.clone() };
        *self != same_count
    }

    /// Returns whether it belongs to a replica under an epoch.
    pub fn is_member_of(&self, replica: &str, epoch: Epoch) -> bool {
        let member = self.member.as_ref();
        member.is_some_and(|member| member.replica == replica && member.epoch == epoch)
    }
}
