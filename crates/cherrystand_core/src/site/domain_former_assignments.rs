//! Former assignments of boxes: replicas that a box was removed from and may still join or belong
//! to.
//!
//! What a box reports about itself may be outdated: an order that was sent before the removal may
//! take effect after it.
//!
//! Source: docs/design/0011-former-places.md.

use crate::site::domain_draft::DomainDraft;
use crate::site::domain_spares::spare_prefix;
use crate::site::formation::replica_name;
use crate::{BoxId, Epoch, FormerAssignment, Member, MemberState, MemberTask, ReplicaId, SiteBox};

/// The most former assignments that a box may still hold; one with more has to leave some before it
/// is assigned again.
const MAX_UNCONFIRMED: usize = 6;

/// For how many epochs of the domain a former assignment of an unlisted box is kept. A box that is
/// gone for good comes back under another id, and its former assignments would accumulate.
const UNLISTED_RETENTION_EPOCHS: u64 = 64;

impl<'a> DomainDraft<'a> {
    /// Returns whether the leader of a box's reported replica left it after the box was removed
    /// from it.
    fn replica_has_ended(&self, id: &BoxId, member: &Member) -> bool {
        let key = (member.replica.clone(), member.epoch);
        let former_assignments = self.input.record.former_assignments(id);
        let closed = former_assignments.filter(|former| former.epoch == member.epoch);
        let closed_at = closed.map(|former| former.closed_at).max().unwrap_or_default();
        self.input.ended_replicas.get(&key).is_some_and(|as_of| *as_of >= closed_at)
    }

    /// Returns whether a leader may serve, now or once an order takes effect that was already sent.
    pub(crate) fn may_serve(&self, leader: &SiteBox) -> bool {
        let Some(member) = &leader.member else {
            return false;
        };
        let ended = self.replica_has_ended(&leader.id, member);
        let is_spare = member.replica.starts_with(&spare_prefix(self.input.domain));
        !ended && !is_spare && member.state != MemberState::Broken
    }

    /// Returns the box that has to leave its replica before `site_box` may join another one.
    ///
    /// If the leader responds, it is ordered to leave, which frees all its members at once. A
    /// leader that doesn't respond may be cut off and still serve, which can't be distinguished
    /// from a crash here; each of its members then leaves by itself.
    pub(crate) fn blocking_box(&self, site_box: &'a SiteBox) -> Option<&'a SiteBox> {
        let member = site_box.member.as_ref()?;
        if self.replica_has_ended(&site_box.id, member) {
            return None;
        }
        match self.leader_of(&member.replica, member.epoch) {
            Some(leader) if self.responsive_box(&leader.id).is_some() => {
                self.may_serve(leader).then_some(leader)
            }
            _ => Some(site_box),
        }
    }

    /// Returns a former assignment that a box may still hold, since its last report is older.
    pub(crate) fn unconfirmed_assignment(
        &self,
        site_box: &SiteBox,
    ) -> Option<&'a FormerAssignment> {
        let mut former_assignments = self.input.record.former_assignments(&site_box.id);
        former_assignments.find(|former| self.is_unconfirmed(site_box, former))
    }

    /// Returns whether a box has few enough unconfirmed former assignments for the record to hold
    /// one more.
    pub(crate) fn is_assignable(&self, site_box: &SiteBox) -> bool {
        let former_assignments = self.next.former_assignments(&site_box.id);
        former_assignments.filter(|former| self.is_unconfirmed(site_box, former)).count()
            < MAX_UNCONFIRMED
    }

    /// Orders boxes with too many unconfirmed former assignments to leave these, one at a time.
    ///
    /// Otherwise they would never be used again, since nothing else makes them report a later
    /// epoch.
    pub(crate) fn leave_former_assignments(&mut self) {
        for site_box in self.input.boxes.iter().copied() {
            if self.is_assignable(site_box) || self.responsive_box(&site_box.id).is_none() {
                continue;
            }
            if let Some(former) = self.unconfirmed_assignment(site_box) {
                let replica = replica_name(self.input.domain, &former.replica);
                self.add_order(site_box, &replica, former.epoch, MemberTask::Leave);
            }
        }
    }

    /// Returns whether a box may still hold a former assignment, going by its last report.
    fn is_unconfirmed(&self, site_box: &SiteBox, former: &FormerAssignment) -> bool {
        reported_epoch(site_box) < former.epoch && !self.has_left(site_box, former)
    }

    /// Returns whether a box left a former assignment after it was removed from it.
    ///
    /// If it left before the removal, a delayed order may have made it join again.
    fn has_left(&self, site_box: &SiteBox, former: &FormerAssignment) -> bool {
        let left = self.input.left_epochs.get(&(site_box.id.clone(), former.epoch));
        left.is_some_and(|as_of| *as_of >= former.closed_at)
    }

    /// Removes a replica from the record and keeps its boxes' assignments as former ones.
    pub(crate) fn release_boxes(&mut self, replica: &ReplicaId) {
        let Some(released) = self.next.replicas.remove(replica) else {
            return;
        };
        let mut former = std::mem::take(&mut self.next.former);
        let closed_at = self.next.take_epoch();
        for id in released.boxes {
            let assignment =
                FormerAssignment { replica: replica.clone(), epoch: released.epoch, closed_at };
            former.entry(BoxId::new(id.name())).or_default().push(assignment);
        }
        former.retain(|id, former_assignments| {
            let listed = self.input.boxes.iter().find(|site_box| site_box.id.is_same_box(id));
            let Some(site_box) = listed else {
                // The box may be gone for good or cut off from the store, or this list may be
                // outdated. Whoever lists the box next has to know what it may still hold.
                former_assignments
                    .retain(|former| closed_at.0 - former.closed_at.0 < UNLISTED_RETENTION_EPOCHS);
                return !former_assignments.is_empty();
            };
            // Other nodes may have an older list that doesn't contain the box yet.
            former_assignments.retain(|former| {
                reported_epoch(site_box) <= former.epoch && !self.has_left(site_box, former)
            });
            !former_assignments.is_empty()
        });
        self.next.former = former;
    }
}

/// Returns the epoch that a box reports, or 0 if it belongs to no replica.
fn reported_epoch(site_box: &SiteBox) -> Epoch {
    site_box.member.as_ref().map(|member| member.epoch).unwrap_or_default()
}
