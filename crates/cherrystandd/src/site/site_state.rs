//! The state of the site as one node knows it, and how changes update it.

use std::cell::OnceCell;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cherrystand_core::{
    AssignedBoxes, BoxId, BoxIncarnations, ChangeLog, ChangesSince, ColdBoxes, Document, Epoch,
    LeavingIncarnations, MAX_SOUND_SILENCE, MemberOrder, MemberState, Millis, Revision, RouteTable,
    SiteBox, SiteConfig, SiteView, StoreOutage, SuspectRecord, Tombstones,
};
use cherrystand_peer::ChangeUpdate;
use cherrystand_platform::{Changes, FormatError, SiteDriver};

use crate::keys;
use crate::site::Driver;
use crate::site::box_log::{BoxLog, BoxTransition};
use crate::site::change_source::ChangeSource;
use crate::site::domain_records::DomainRecords;
use crate::site::evacuation_state::EvacuationState;
use crate::site::held_suspects::HeldSuspects;
use crate::site::refused_values::{RefusedKind, RefusedValues};
use crate::site::store_restore::StoreRestore;

/// How long a departed box is remembered.
const DEPARTED_RETENTION: Millis = Millis(12_000);

/// How long a listed box counts as silent after it did not answer. A box that is dead is delisted
/// sooner.
const SILENCE_RETENTION: Millis = Millis(4_500);

/// The longest time between two reports of one stall, which come each second.
const MAX_REPORT_PAUSE: Millis = Millis(1_300);

/// Reports that a box that can't be asked seems to be silent.
#[derive(Clone, Copy, Debug)]
pub(super) struct UnknownSilence {
    since: Millis,
    reported_at: Millis,
}

impl UnknownSilence {
    fn new(now: Millis) -> Self {
        Self { since: now, reported_at: now }
    }
}

/// A box that is no longer listed.
#[derive(Clone, Debug)]
pub(super) struct DepartedBox {
    pub(super) site_box: Arc<SiteBox>,
    pub(super) departed_at: Millis,
}

/// Holds the state of the site as one node knows it. It does no I/O.
#[derive(Default)]
pub(crate) struct SiteState {
    /// The active configuration. Its revision is the configuration's version.
    config: Option<Document>,
    /// The revision of the last configuration read from the store, active or not.
    pub(super) stored_config_revision: Revision,
    table: Option<Arc<RouteTable>>,
    /// The boxes' entries as they stand in the store, by box name. An entry that cannot be parsed
    /// is kept as well, and hides the one before it.
    pub(super) entries: BTreeMap<BoxId, Document>,
    /// The revisions as of which deleted entries are known to be gone.
    pub(super) tombstones: Tombstones<BoxId>,
    /// Decides which incarnation of a box an entry belongs to.
    pub(super) incarnations: BoxIncarnations,
    /// The ID, with its incarnation, of each listed box, by box name.
    pub(super) listed_incarnations: BTreeMap<BoxId, BoxId>,
    /// Incarnations that ended when their boxes restarted, kept while a domain record names them.
    pub(super) ended_incarnations: BTreeSet<BoxId>,
    /// The boxes assigned to each replica by the domain records, under the IDs by which they are
    /// listed.
    ///
    /// Computed on first use and shared by all views until a record or a listed incarnation
    /// changes: computing it for each view takes a lookup per box.
    pub(super) assigned: OnceCell<Arc<AssignedBoxes>>,
    /// Values from the store that could not be used.
    pub(super) refused: RefusedValues,
    pub(super) boxes: Arc<BTreeMap<BoxId, Arc<SiteBox>>>,
    /// Until when each cold box stays cold.
    pub(super) cold: Arc<ColdBoxes>,
    /// The availability zones that operators have evacuated.
    pub(super) evacuations: EvacuationState,
    pub(super) departed: BTreeMap<BoxId, DepartedBox>,
    pub(super) domain_records: DomainRecords,
    pub(super) suspects: HeldSuspects,
    pub(super) silent_since: BTreeMap<BoxId, Millis>,
    /// The silent boxes that have ended, or were silent for longer than a sound box is.
    pub(super) dead: BTreeSet<BoxId>,
    /// The silent boxes that can't be asked.
    pub(super) unknown_silences: BTreeMap<BoxId, UnknownSilence>,
    /// Incarnations of boxes that announced in an answer that they are leaving, whatever their
    /// entries say.
    pub(super) leaving: LeavingIncarnations<BoxId>,
    /// Replica members whose entries are gone and that have not been probed since.
    pub(super) unverified: Vec<SiteBox>,
    /// Replicas whose leaders left them, by name and epoch, with the last epoch of the domain
    /// record that the order to leave followed from.
    ended_replicas: BTreeMap<(String, Epoch), Epoch>,
    /// The epochs that boxes confirmed they left, with the last epoch of the domain record that the
    /// order to leave followed from.
    pub(super) left_epochs: BTreeMap<(BoxId, Epoch), Epoch>,
    has_listing: bool,
    pub(super) store_outage: StoreOutage,
    pub(super) store_restore: StoreRestore,
    /// When a box that was not known before last appeared.
    pub(super) last_new_box_at: Millis,
    /// Boxes that are kept although the store no longer lists them.
    pub(super) unlisted: BTreeSet<BoxId>,
    /// Whether the peer that last sent changes keeps such boxes.
    source_keeps_unlisted: bool,
    /// The revision up to which the entries are known.
    revision: Revision,
    /// Where the changes being applied came from.
    pub(super) source: ChangeSource,
    box_log: BoxLog,
    /// The recent changes, for peers that read from this node.
    pub(super) change_log: ChangeLog,
}

impl SiteState {
    /// Applies a peer's copy of the configuration, whose revision is its version.
    ///
    /// Only a later version than the one held is applied, whichever peer sends it.
    pub(crate) fn apply_config(&mut self, document: &Document, from: &ChangeSource) -> bool {
        if document.revision <= self.config_revision() {
            return false;
        }
        match Driver::read_config(&document.body) {
            Ok(config) => self.activate_config(config, document.clone(), from),
            Err(err) => {
                self.refuse_config(document, &err);
                false
            }
        }
    }

    /// Activates a configuration unless the same or a later version is active. Returns whether it
    /// was activated.
    pub(super) fn activate_config(
        &mut self,
        config: SiteConfig,
        document: Document,
        from: &ChangeSource,
    ) -> bool {
        let held = self.table.as_ref().map(|table| table.config().version);
        if held.is_some_and(|held| held >= config.version) {
            log::info!(
                version = config.version, in_force = held;
                "a configuration is passed over, as it or a later one is in force"
            );
            return false;
        }
        log::info!(
            version = config.version, told_by = from.to_string(), known_up_to = self.revision.number();
            "configuration activated"
        );
        self.table = Some(Arc::new(RouteTable::new(config)));
        self.change_log.record(document.clone());
        self.config = Some(document);
        true
    }

    pub(super) fn refuse_config(&mut self, document: &Document, err: &FormatError) {
        self.refused.record(document, RefusedKind::Configuration, err);
    }

    /// Applies changes read from the store.
    pub(crate) fn apply_changes(&mut self, changes: &Changes, now: Millis) {
        self.source = ChangeSource::Store;
        self.source_keeps_unlisted = false;
        self.store_outage.record_answer(now);
        self.apply_zone_changes(changes, now);
        for record in &changes.records {
            self.apply_record(record, now);
        }
        for key in &changes.removed {
            if let Some(name) = key.strip_prefix(Driver::BOX_PREFIX) {
                self.delist(&BoxId::new(name), changes.revision, now);
            }
        }
        self.advance_revision(changes.revision);
    }

    /// Records that everything up to a revision is known.
    fn advance_revision(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
        self.change_log.record_known(self.revision);
    }

    /// Applies a complete list of boxes read from the store.
    pub(crate) fn apply_list(&mut self, list: &[Document], revision: Revision, now: Millis) {
        self.source = ChangeSource::Store;
        self.store_outage.record_answer(now);
        for name in self.missing_from(list) {
            self.delist(&name, revision, now);
        }
        self.apply_records(list, revision, now);
    }

    /// Applies a peer's snapshot of all boxes, which does not show whether the store answers.
    pub(crate) fn apply_snapshot(
        &mut self,
        source: ChangeSource,
        list: &[Document],
        revision: Revision,
        now: Millis,
    ) {
        self.source = source;
        for name in self.missing_from(list) {
            self.remove_box(&name, revision, now);
        }
        self.apply_zones_from_snapshot(list, revision, now);
        self.apply_records(list, revision, now);
    }

    /// Applies changes passed on by a peer that reads the store.
    ///
    /// The peer has already decided which boxes to keep after a store outage.
    pub(crate) fn apply_peer_changes(
        &mut self,
        source: ChangeSource,
        update: &ChangeUpdate,
        batch: &ChangesSince,
        now: Millis,
    ) {
        self.source_keeps_unlisted = update.keeps_unlisted;
        let steady_since = now - update.answering_for;
        self.store_outage.record_peer_answer(now - update.store_age, steady_since, now);
        if update.whole {
            return self.apply_snapshot(source, &batch.records, update.revision, now);
        }
        self.source = source;
        for record in &batch.records {
            self.apply_record(record, now);
        }
        for name in &batch.gone {
            self.remove_box(name, update.revision, now);
        }
        self.advance_revision(update.revision);
    }

    fn apply_records(&mut self, list: &[Document], revision: Revision, now: Millis) {
        for entry in list {
            self.apply_record(entry, now);
        }
        self.has_listing = true;
        self.advance_revision(revision);
    }

    fn apply_record(&mut self, record: &Document, now: Millis) {
        if &*record.key == Driver::CONFIG_KEY {
            self.apply_stored_config(record);
        } else if record.key.starts_with(Driver::BOX_PREFIX) {
            self.apply_entry(record, now);
        } else if record.key.starts_with(keys::DOMAINS) {
            self.apply_domain_record(record);
        } else if &*record.key == keys::SUSPECTS {
            self.apply_suspects(record);
        } else if &*record.key == keys::EVACUATED_ZONES {
            self.apply_evacuation_document(record, now);
        }
    }

    /// Logs what the change being applied means for a box.
    pub(super) fn log_box_transition(
        &mut self,
        transition: BoxTransition,
        id: &BoxId,
        now: Millis,
    ) {
        self.box_log.log(transition, id, &self.source, self.revision, now);
    }

    /// Applies the record of requests that crash replicas, unless a later one is held.
    pub(crate) fn apply_suspects(&mut self, document: &Document) {
        match self.suspects.update(document, self.is_restored(document)) {
            Ok(true) => self.change_log.record(document.clone()),
            Ok(false) => {}
            Err(err) => self.refused.record(document, RefusedKind::Suspects, &err),
        }
    }

    /// Returns the record of requests that crash replicas and its revision.
    pub(crate) fn suspects(&self) -> (Revision, Arc<SuspectRecord>) {
        self.suspects.get()
    }

    /// Records that a call to the store failed. Returns whether the failure counts against the
    /// store rather than against a pause of this daemon.
    pub(crate) fn record_store_failure(&mut self, now: Millis) -> bool {
        self.store_outage.record_failure(now)
    }

    /// Records that the daemon is running.
    pub(crate) fn record_running(&mut self, now: Millis) {
        self.store_outage.record_running(now);
    }

    /// Returns how long the store was silent if boxes are being kept because of an outage that no
    /// peer has confirmed yet. The outage is returned once.
    pub(crate) fn take_unconfirmed_outage(&mut self) -> Option<Millis> {
        self.keeps_unlisted().then(|| self.store_outage.take_unconfirmed_outage()).flatten()
    }

    /// Records that the store kept answering other daemons while it was silent here, so that boxes
    /// it does not list are gone.
    pub(crate) fn clear_outage(&mut self) {
        self.store_outage.clear_outage();
    }

    /// Returns how long the store has answered without interruption.
    pub(crate) fn answering_for(&self, now: Millis) -> Millis {
        self.store_outage.answering_for(now)
    }

    /// Applies a domain's record, unless a later one is held.
    pub(crate) fn apply_domain_record(&mut self, document: &Document) {
        match self.domain_records.apply(document, self.is_restored(document)) {
            Ok(true) => {
                self.assigned.take();
                self.change_log.record(document.clone());
            }
            Ok(false) => {}
            Err(err) => self.refused.record(document, RefusedKind::DomainRecord, &err),
        }
    }

    /// Returns how many values could not be used since the last call, by kind.
    pub(crate) fn take_refused(&mut self) -> BTreeMap<RefusedKind, u64> {
        self.refused.take_counts()
    }

    /// Records that a box answered. Returns whether it was taken for silent.
    pub(crate) fn record_alive(&mut self, id: &BoxId) -> bool {
        self.dead.remove(id);
        self.silent_since.remove(id).is_some()
    }

    /// Records that a box left a question unanswered. Returns whether that is new.
    pub(crate) fn record_silent(&mut self, id: &BoxId, now: Millis) -> bool {
        self.silent_since.insert(id.clone(), now).is_none()
    }

    /// Records that a box has ended, or was silent for longer than a sound one is.
    pub(crate) fn record_dead(&mut self, id: &BoxId, now: Millis) {
        self.silent_since.insert(id.clone(), now);
        self.dead.insert(id.clone());
    }

    /// Records that a box that can't be asked seems to be silent, as its replica stalls. It counts as
    /// dead once that was reported again and again for longer than a sound box is silent.
    pub(crate) fn record_unknown_silent(&mut self, id: &BoxId, now: Millis) {
        let silence = self.unknown_silences.entry(id.clone()).or_insert(UnknownSilence::new(now));
        if now.since(silence.reported_at) > MAX_REPORT_PAUSE {
            *silence = UnknownSilence::new(now);
        }
        silence.reported_at = now;
        let lasts = now.since(silence.since) >= MAX_SOUND_SILENCE;
        self.record_silent(id, now);
        if lasts {
            self.dead.insert(id.clone());
        }
    }

    /// Records that a box announced in an answer that it is leaving. Returns whether that is new.
    pub(crate) fn mark_leaving(&mut self, id: &BoxId) -> bool {
        if !self.leaving.insert(id) {
            return false;
        }
        if let Some(listed) = Arc::make_mut(&mut self.boxes).get_mut(id) {
            Arc::make_mut(listed).leaving = true;
        }
        if let Some(departed) = self.departed.get_mut(id) {
            Arc::make_mut(&mut departed.site_box).leaving = true;
        }
        true
    }

    /// Returns the replica members whose entries went away since the last call. They have to be
    /// probed to find out whether they are still running.
    pub(crate) fn take_unverified(&mut self) -> Vec<SiteBox> {
        std::mem::take(&mut self.unverified)
    }

    /// Records that a box followed an order to leave a replica, before its own entry says so.
    pub(crate) fn mark_left(&mut self, order: &MemberOrder) {
        let (id, replica, epoch) = (&order.target, &order.replica, order.epoch);
        if self.boxes.contains_key(id) {
            let as_of = self.left_epochs.entry((id.clone(), epoch)).or_default();
            *as_of = order.record_epoch.max(*as_of);
        }
        let Some(site_box) = Arc::make_mut(&mut self.boxes).get_mut(id) else {
            return;
        };
        let site_box = Arc::make_mut(site_box);
        match site_box.member.as_mut().filter(|member| &member.replica == replica) {
            Some(member) if member.epoch == epoch && member.rank == 0 => {
                // It no longer serves, but the fact that it led is needed until its next entry
                // arrives.
                member.state = MemberState::Ready;
                let as_of = self.ended_replicas.entry((replica.clone(), epoch)).or_default();
                *as_of = order.record_epoch.max(*as_of);
            }
            Some(member) if member.epoch == epoch => site_box.member = None,
            _ => {}
        }
    }

    /// Removes expired state. Returns whether that made a change that peers have to learn of.
    pub(crate) fn remove_expired(&mut self, now: Millis) -> bool {
        let changes = self.change_count();
        if !self.store_outage.keeps_unlisted(now) {
            for id in std::mem::take(&mut self.unlisted) {
                self.remove_box(&BoxId::new(id.name()), self.revision, now);
            }
        }
        self.expire_ended_incarnations();
        if !self.cold.is_empty() {
            Arc::make_mut(&mut self.cold).remove_expired(now);
        }
        self.departed.retain(|_, departed| now.since(departed.departed_at) < DEPARTED_RETENTION);
        self.expire_ended_replicas();
        let boxes = &self.boxes;
        let retention = |id: &BoxId| {
            if boxes.contains_key(id) { SILENCE_RETENTION } else { DEPARTED_RETENTION }
        };
        self.silent_since.retain(|id, since| now.since(*since) < retention(id));
        self.dead.retain(|id| self.silent_since.contains_key(id));
        self.unknown_silences.retain(|id, _| self.silent_since.contains_key(id));
        self.change_count() != changes
    }

    /// Removes ended replicas that no listed or departed box is a member of.
    fn expire_ended_replicas(&mut self) {
        if self.ended_replicas.is_empty() {
            return;
        }
        let departed = self.departed.values().map(|departed| &departed.site_box);
        let members =
            self.boxes.values().chain(departed).filter_map(|site_box| site_box.member.as_ref());
        let members: BTreeSet<_> = members.map(|member| (&member.replica, member.epoch)).collect();
        self.ended_replicas.retain(|(replica, epoch), _| members.contains(&(replica, *epoch)));
    }

    /// Returns the replicas whose leaders no longer serve.
    pub(crate) fn ended_replicas(&self) -> &BTreeMap<(String, Epoch), Epoch> {
        &self.ended_replicas
    }

    /// Returns the epochs that boxes confirmed they left.
    pub(crate) fn left_epochs(&self) -> &BTreeMap<(BoxId, Epoch), Epoch> {
        &self.left_epochs
    }

    /// Returns the route table of the active configuration.
    pub(crate) fn table(&self) -> Option<&Arc<RouteTable>> {
        self.table.as_ref()
    }

    /// Returns the revision up to which everything is known.
    pub(crate) fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns how many changes have been recorded.
    pub(crate) fn change_count(&self) -> u64 {
        self.change_log.count()
    }

    /// Returns whether all changes after the first `count` are still held.
    pub(crate) fn keeps_changes_since(&self, count: u64) -> bool {
        self.change_log.has_all_since(count)
    }

    /// Returns the changes after the first `count`, if they are still held.
    ///
    /// The configuration is left out, as it is sent separately.
    pub(crate) fn changes_since(&self, count: u64) -> Option<ChangesSince> {
        let mut since = self.change_log.since(count)?;
        since.records.retain(|record| &*record.key != Driver::CONFIG_KEY);
        Some(since)
    }

    /// Returns everything but the configuration, as documents.
    pub(crate) fn snapshot(&self) -> Vec<Document> {
        let domains = self.domain_records.documents();
        let kept = domains.chain(self.entries.values()).chain(self.suspects.document());
        kept.cloned().chain(self.evacuations.document()).collect()
    }

    /// Returns whether any box is kept that the store no longer lists.
    pub(crate) fn keeps_unlisted(&self) -> bool {
        !self.unlisted.is_empty()
    }

    /// Returns whether this node, or the peer that last sent it changes, keeps any such box.
    pub(crate) fn may_hold_unlisted(&self) -> bool {
        self.keeps_unlisted() || self.source_keeps_unlisted
    }

    /// Returns after how many changes come all that a peer lacks who knows everything up to a
    /// revision, if they are still held.
    pub(crate) fn changes_known_at(&self, revision: Revision) -> Option<u64> {
        let is_same_era = revision.era() == self.revision.era();
        is_same_era.then(|| self.change_log.count_known_at(revision)).flatten()
    }

    /// Returns the number of listed boxes.
    pub(crate) fn box_count(&self) -> usize {
        self.boxes.len()
    }

    /// Returns whether a complete list of boxes has been applied.
    pub(crate) fn is_listed(&self) -> bool {
        self.has_listing
    }

    /// Returns the version of the active configuration as a revision, or none if there is no active
    /// configuration.
    pub(crate) fn config_revision(&self) -> Revision {
        self.config.as_ref().map(|held| held.revision).unwrap_or_default()
    }

    /// Returns the active configuration as it was written.
    pub(crate) fn config(&self) -> Option<&Document> {
        self.config.as_ref()
    }

    /// Returns the documents written by operators that are passed on to peers.
    pub(crate) fn operator_documents(&self) -> Vec<Document> {
        let config = self.config.iter().map(|held| Document {
            key: Arc::from(keys::SITE_CONFIG),
            revision: held.revision,
            body: held.body.clone(),
        });
        config.chain(self.evacuations.document()).collect()
    }

    /// Returns revisions that change whenever any document written by operators changes.
    pub(crate) fn operator_revisions(&self) -> (Revision, Revision) {
        (self.config_revision(), self.evacuations.changed_at())
    }

    fn assigned(&self) -> &Arc<AssignedBoxes> {
        self.assigned.get_or_init(|| {
            self.domain_records.assigned_with_listed_ids(|id| self.listed_id_for(id))
        })
    }

    /// Returns an immutable view of the state.
    ///
    /// With `serve_unlisted`, replica members that are no longer listed may count as present, for
    /// which the view includes the assigned boxes.
    pub(crate) fn view(&self, nodes: usize, serve_unlisted: bool) -> SiteView {
        SiteView {
            routes: self.table.clone(),
            boxes: self.boxes.clone(),
            silent: self.silent_boxes(),
            dead: self.dead_boxes(),
            assigned: match serve_unlisted {
                true => self.assigned().clone(),
                false => Arc::default(),
            },
            suspects: self.suspects.get().1,
            evacuated: self.evacuations.since(),
            cold: self.cold.clone(),
            boxes_listed: self.has_listing,
            live_nodes: nodes,
        }
    }
}
