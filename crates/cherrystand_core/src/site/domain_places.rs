//! Where boxes of a domain may still be, as what they tell of themselves may be old.
//!
//! Source: docs/design/0011-former-places.md.

use crate::site::domain_draft::DomainDraft;
use crate::site::domain_spares::spare_prefix;
use crate::site::formation::replica_name;
use crate::{BoxId, Epoch, FormerAssignment, Member, MemberState, MemberTask, ReplicaId, SiteBox};

/// How many places of one box may be open at a time; one with more leaves some before it is used.
const MOST_OPEN_PLACES: usize = 6;

/// For how many epochs of its domain a place of a box that is not listed is kept: a box that is
/// gone comes back under another id, and its places would pile up.
const UNLISTED_KEPT_FOR: u64 = 64;

impl<'a> DomainDraft<'a> {
    /// Tells whether the leader of the replica that a box tells of left it, after the box was taken
    /// out of it where it was.
    fn has_ended(&self, id: &BoxId, member: &Member) -> bool {
        let key = (member.replica.clone(), member.epoch);
        let places = self.at.record.former_assignments(id);
        let closed = places.filter(|place| place.epoch == member.epoch);
        let closed_at = closed.map(|place| place.closed_at).max().unwrap_or_default();
        self.at.ended.get(&key).is_some_and(|as_of| *as_of >= closed_at)
    }

    /// Tells whether a leader may serve, now or once an order takes effect that was sent before.
    pub(crate) fn may_serve(&self, leader: &SiteBox) -> bool {
        let Some(member) = &leader.member else {
            return false;
        };
        let ended = self.has_ended(&leader.id, member);
        let is_spare = member.replica.starts_with(&spare_prefix(self.at.domain));
        !ended && !is_spare && member.state != MemberState::Broken
    }

    /// Returns the box that has to leave its replica before `known` may join anew.
    ///
    /// A leader that answers is told first, and its members are free at once. One that is out of
    /// reach may be cut off and serve on, which nobody here can tell from its end; each of its
    /// members then leaves by itself.
    pub(crate) fn held_by(&self, known: &'a SiteBox) -> Option<&'a SiteBox> {
        let member = known.member.as_ref()?;
        if self.has_ended(&known.id, member) {
            return None;
        }
        match self.leader_of(&member.replica, member.epoch) {
            Some(leader) if self.alive(&leader.id).is_some() => {
                self.may_serve(leader).then_some(leader)
            }
            _ => Some(known),
        }
    }

    /// Returns a place that a box was taken out of and may have come to after all, since what it
    /// tells of itself is older.
    pub(crate) fn may_be_in(&self, known: &SiteBox) -> Option<&'a FormerAssignment> {
        let mut places = self.at.record.former_assignments(&known.id);
        places.find(|place| self.is_open(known, place))
    }

    /// Tells whether few enough places of a box are open that the record can hold one more.
    pub(crate) fn is_placeable(&self, known: &SiteBox) -> bool {
        let places = self.next.former_assignments(&known.id);
        places.filter(|place| self.is_open(known, place)).count() < MOST_OPEN_PLACES
    }

    /// Has boxes that have too many open places leave these one after the other; they would be left
    /// alone for good otherwise, since nothing else makes them tell of a later epoch.
    pub(crate) fn close_places(&mut self) {
        for known in self.at.boxes.iter().copied() {
            if self.is_placeable(known) || self.alive(&known.id).is_none() {
                continue;
            }
            if let Some(place) = self.may_be_in(known) {
                let replica = replica_name(self.at.domain, &place.replica);
                self.order(known, &replica, place.epoch, MemberTask::Leave);
            }
        }
    }

    /// Tells whether a box may be in a place as far as what it tells of itself goes.
    fn is_open(&self, known: &SiteBox, place: &FormerAssignment) -> bool {
        told_epoch(known) < place.epoch && !self.has_left(known, place)
    }

    /// Tells whether a box left a place after it was taken out of it.
    ///
    /// What it left before that, a late order may have brought it back to.
    fn has_left(&self, known: &SiteBox, place: &FormerAssignment) -> bool {
        let left = self.at.left.get(&(known.id.clone(), place.epoch));
        left.is_some_and(|as_of| *as_of >= place.closed_at)
    }

    /// Takes a replica out of the record and notes where its boxes were.
    pub(crate) fn vacate(&mut self, replica: &ReplicaId) {
        let Some(held) = self.next.replicas.remove(replica) else {
            return;
        };
        let mut former = std::mem::take(&mut self.next.former);
        let closed_at = self.next.take_epoch();
        for id in held.boxes {
            let place = FormerAssignment { replica: replica.clone(), epoch: held.epoch, closed_at };
            former.entry(BoxId::new(id.name())).or_default().push(place);
        }
        former.retain(|id, places| {
            let listed = self.at.boxes.iter().find(|known| known.id.is_same_box(id));
            let Some(known) = listed else {
                // It may be gone for good, or cut off from the store, or this list be old: whoever
                // lists it next has to find where it may be.
                places.retain(|place| closed_at.0 - place.closed_at.0 < UNLISTED_KEPT_FOR);
                return !places.is_empty();
            };
            // Other nodes may have an older list, in which the box is not there yet.
            places.retain(|place| told_epoch(known) <= place.epoch && !self.has_left(known, place));
            !places.is_empty()
        });
        self.next.former = former;
    }
}

/// Returns the epoch that a box tells of; 0 where it belongs to nothing.
fn told_epoch(known: &SiteBox) -> Epoch {
    known.member.as_ref().map(|member| member.epoch).unwrap_or_default()
}
