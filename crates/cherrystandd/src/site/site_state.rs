//! What a node knows of the site, and how news changes it.

use std::cell::OnceCell;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cherrystand_core::{
    Absences, AssignedBoxes, BoxId, BoxIncarnations, ChangeLog, ChangesSince, ColdBoxes, Document,
    Epoch, LeavingLives, MemberOrder, MemberState, Millis, Revision, RouteTable, SiteBox,
    SiteConfig, SiteView, StoreOutage, SuspectRecord,
};
use cherrystand_peer::ChangeNews;
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

/// For how long a box that is listed no more is remembered.
const DEPARTED_RETENTION: Millis = Millis(12_000);

/// For how long a box counts as silent after it did not answer; the entry of one that is dead goes
/// sooner.
const SILENCE_RETENTION: Millis = Millis(4_500);

/// A box that is listed no more.
#[derive(Clone, Debug)]
pub(super) struct DepartedBox {
    pub(super) site_box: Arc<SiteBox>,
    pub(super) departed_at: Millis,
}

/// Keeps what one node knows of the site; it does no I/O.
#[derive(Default)]
pub(crate) struct SiteState {
    /// The configuration in force; its revision is its version.
    config: Option<Document>,
    /// The revision of the last one that the store told, whether it is in force or not.
    pub(super) stored_config_revision: Revision,
    table: Option<Arc<RouteTable>>,
    /// What boxes tell of themselves, as it stands in the store, by their names; also what cannot be
    /// read, which hides what stood there before.
    pub(super) entries: BTreeMap<BoxId, Document>,
    /// As of when entries are gone.
    pub(super) tombstones: Absences<BoxId>,
    /// Which lives of boxes entries tell of.
    pub(super) incarnations: BoxIncarnations,
    /// The life of each box that is listed, by its name.
    pub(super) listed_incarnations: BTreeMap<BoxId, BoxId>,
    /// Lives that ended as their boxes started again, for as long as a record names them.
    pub(super) ended_incarnations: BTreeSet<BoxId>,
    /// The boxes of each replica by the records, as they are listed; made when it is asked for, once
    /// for all views until a record or a listed life changes. Made for each view it took a look-up a
    /// box.
    pub(super) assigned: OnceCell<Arc<AssignedBoxes>>,
    /// Values that cannot be used.
    pub(super) refused: RefusedValues,
    pub(super) boxes: Arc<BTreeMap<BoxId, Arc<SiteBox>>>,
    /// Until when boxes are cold.
    pub(super) cold: Arc<ColdBoxes>,
    /// Which availability zones operators have emptied.
    pub(super) evacuations: EvacuationState,
    pub(super) departed: BTreeMap<BoxId, DepartedBox>,
    pub(super) domain_records: DomainRecords,
    pub(super) suspects: HeldSuspects,
    pub(super) silent_since: BTreeMap<BoxId, Millis>,
    /// Lives of boxes that said in their answers that they leave, whatever their entries say.
    pub(super) leaving: LeavingLives<BoxId>,
    /// Members of replicas whose entries went, and that nobody asked since whether they are there.
    pub(super) unverified: Vec<SiteBox>,
    /// Replicas whose leaders left them, with the last epoch of the record that they were ordered
    /// to by.
    ended_replicas: BTreeMap<(String, Epoch), Epoch>,
    /// The epochs that boxes said they left, with the last epoch of the record that they were
    /// ordered to by.
    pub(super) left_epochs: BTreeMap<(BoxId, Epoch), Epoch>,
    has_listing: bool,
    pub(super) store_outage: StoreOutage,
    pub(super) store_restore: StoreRestore,
    /// When a box last came that was not known.
    pub(super) last_new_box_at: Millis,
    /// Boxes that are kept though they are listed no more.
    pub(super) unlisted: BTreeSet<BoxId>,
    /// The revision up to which the entries are known.
    revision: Revision,
    /// Who tells what is being taken in.
    pub(super) source: ChangeSource,
    box_log: BoxLog,
    /// What changed lately, for peers that read from this node.
    pub(super) change_log: ChangeLog,
}

impl SiteState {
    /// Takes in a peer's copy of the configuration, whose revision is its version.
    ///
    /// Only a later one counts, whoever brings it.
    pub(crate) fn apply_config(&mut self, document: &Document) -> bool {
        if document.revision <= self.config_revision() {
            return false;
        }
        match Driver::read_config(&document.body) {
            Ok(config) => self.activate_config(config, document.clone()),
            Err(err) => {
                self.refuse_config(document, &err);
                false
            }
        }
    }

    /// Puts a configuration in force, unless a later one is, and tells whether it did.
    pub(super) fn activate_config(&mut self, config: SiteConfig, document: Document) -> bool {
        let held = self.table.as_ref().map(|table| table.config().version);
        if held.is_some_and(|held| held >= config.version) {
            log::info!(
                version = config.version, in_force = held;
                "a configuration is passed over, as it or a later one is in force"
            );
            return false;
        }
        log::info!(version = config.version; "a configuration is in force");
        self.table = Some(Arc::new(RouteTable::new(config)));
        self.change_log.record(document.clone());
        self.config = Some(document);
        true
    }

    pub(super) fn refuse_config(&mut self, document: &Document, err: &FormatError) {
        self.refused.record(document, RefusedKind::Configuration, err);
    }

    /// Takes in what changed in the store.
    pub(crate) fn apply_changes(&mut self, changes: &Changes, now: Millis) {
        self.source = ChangeSource::Store;
        self.store_outage.answered(now);
        self.apply_zone_changes(changes, now);
        for record in &changes.records {
            self.apply_record(record, now);
        }
        for key in &changes.gone {
            if let Some(name) = key.strip_prefix(Driver::BOXES) {
                self.delist(&BoxId::new(name), changes.revision, now);
            }
        }
        self.revision = self.revision.max(changes.revision);
    }

    /// Takes in all boxes that are listed now.
    pub(crate) fn apply_list(&mut self, list: &[Document], revision: Revision, now: Millis) {
        self.source = ChangeSource::Store;
        self.store_outage.answered(now);
        for name in self.missing_from(list) {
            self.delist(&name, revision, now);
        }
        self.apply_records(list, revision, now);
    }

    /// Takes in a peer's copy of all boxes, which says nothing of whether the store answers.
    pub(crate) fn apply_snapshot(
        &mut self,
        teller: ChangeSource,
        list: &[Document],
        revision: Revision,
        now: Millis,
    ) {
        self.source = teller;
        for name in self.missing_from(list) {
            self.remove_box(&name, revision, now);
        }
        self.apply_zones_from_snapshot(list, revision, now);
        self.apply_records(list, revision, now);
    }

    /// Takes in what a peer that reads the store passes on.
    ///
    /// The peer has judged which boxes to keep after an outage of the store.
    pub(crate) fn apply_peer_changes(
        &mut self,
        teller: ChangeSource,
        news: &ChangeNews,
        batch: &ChangesSince,
        now: Millis,
    ) {
        let steady_since = now - news.steady_for;
        self.store_outage.answered_peer(now - news.store_age, steady_since, now);
        if news.whole {
            return self.apply_snapshot(teller, &batch.records, news.revision, now);
        }
        self.source = teller;
        for record in &batch.records {
            self.apply_record(record, now);
        }
        for name in &batch.gone {
            self.remove_box(name, news.revision, now);
        }
        self.revision = self.revision.max(news.revision);
    }

    fn apply_records(&mut self, list: &[Document], revision: Revision, now: Millis) {
        for entry in list {
            self.apply_record(entry, now);
        }
        self.has_listing = true;
        self.revision = self.revision.max(revision);
    }

    fn apply_record(&mut self, record: &Document, now: Millis) {
        if &*record.key == Driver::CONFIG_KEY {
            self.apply_stored_config(record);
        } else if record.key.starts_with(Driver::BOXES) {
            self.apply_entry(record, now);
        } else if record.key.starts_with(keys::DOMAINS) {
            self.apply_domain_record(record);
        } else if &*record.key == keys::SUSPECTS {
            self.apply_suspects(record);
        } else if &*record.key == keys::EMPTIED_ZONES {
            self.apply_evacuation_document(record, now);
        }
    }

    /// Writes down what became of a box by what is being taken in.
    pub(super) fn log_box_transition(&mut self, turn: BoxTransition, id: &BoxId, now: Millis) {
        self.box_log.log(turn, id, &self.source, self.revision, now);
    }

    /// Takes in the record of requests that end replicas, unless a later one is held.
    pub(crate) fn apply_suspects(&mut self, copy: &Document) {
        match self.suspects.update(copy, self.is_restored(copy)) {
            Ok(true) => self.change_log.record(copy.clone()),
            Ok(false) => {}
            Err(err) => self.refused.record(copy, RefusedKind::Suspects, &err),
        }
    }

    /// Returns the record of requests that end replicas and its revision.
    pub(crate) fn suspects(&self) -> (Revision, Arc<SuspectRecord>) {
        self.suspects.get()
    }

    /// Notes that the store does not answer, and tells whether that says anything of the store.
    pub(crate) fn record_store_failure(&mut self, now: Millis) -> bool {
        self.store_outage.failed(now)
    }

    /// Notes that the daemon is awake.
    pub(crate) fn record_awake(&mut self, now: Millis) {
        self.store_outage.awake(now);
    }

    /// Returns for how long the store was silent, where a peer is to be asked whether it was out.
    pub(crate) fn take_unconfirmed_outage(&mut self) -> Option<Millis> {
        self.keeps_unlisted().then(|| self.store_outage.take_doubt()).flatten()
    }

    /// Notes that the store answered others while it was silent here: what it lists no more is gone.
    pub(crate) fn dismiss_outage(&mut self) {
        self.store_outage.was_none();
    }

    /// Returns for how long the store has answered without a break.
    pub(crate) fn steady_for(&self, now: Millis) -> Millis {
        self.store_outage.steady_for(now)
    }

    /// Takes in a domain's record, unless a later one is held.
    pub(crate) fn apply_domain_record(&mut self, copy: &Document) {
        match self.domain_records.apply(copy, self.is_restored(copy)) {
            Ok(true) => {
                self.assigned.take();
                self.change_log.record(copy.clone());
            }
            Ok(false) => {}
            Err(err) => self.refused.record(copy, RefusedKind::DomainRecord, &err),
        }
    }

    /// Returns how many values could not be used since the last call, by kind.
    pub(crate) fn take_refused(&mut self) -> BTreeMap<RefusedKind, u64> {
        self.refused.take_counts()
    }

    /// Notes that a box did not answer, or that it did.
    pub(crate) fn record_answer(&mut self, id: &BoxId, answered: bool, now: Millis) {
        if answered {
            self.silent_since.remove(id);
        } else {
            self.silent_since.insert(id.clone(), now);
        }
    }

    /// Takes in that a box said in an answer that it leaves, and tells whether that is new.
    pub(crate) fn mark_leaving(&mut self, id: &BoxId) -> bool {
        if !self.leaving.add(id) {
            return false;
        }
        if let Some(listed) = Arc::make_mut(&mut self.boxes).get_mut(id) {
            Arc::make_mut(listed).leaving = true;
        }
        if let Some(gone) = self.departed.get_mut(id) {
            Arc::make_mut(&mut gone.site_box).leaving = true;
        }
        true
    }

    /// Returns the members of replicas whose entries went since the last call; whether they are
    /// there has to be asked of them.
    pub(crate) fn take_unverified(&mut self) -> Vec<SiteBox> {
        std::mem::take(&mut self.unverified)
    }

    /// Notes that a box followed an order to leave; what it tells of itself follows.
    pub(crate) fn mark_left(&mut self, order: &MemberOrder) {
        let (id, replica, epoch) = (&order.target, &order.replica, order.epoch);
        if self.boxes.contains_key(id) {
            let as_of = self.left_epochs.entry((id.clone(), epoch)).or_default();
            *as_of = order.record_epoch.max(*as_of);
        }
        let Some(known) = Arc::make_mut(&mut self.boxes).get_mut(id) else {
            return;
        };
        let known = Arc::make_mut(known);
        match known.member.as_mut().filter(|member| &member.replica == replica) {
            Some(member) if member.epoch == epoch && member.rank == 0 => {
                // It serves no more; that it led is needed until it tells of itself again.
                member.state = MemberState::Ready;
                let as_of = self.ended_replicas.entry((replica.clone(), epoch)).or_default();
                *as_of = order.record_epoch.max(*as_of);
            }
            Some(member) if member.epoch == epoch => known.member = None,
            _ => {}
        }
    }

    /// Forgets what is too old, and tells whether boxes are gone by that.
    pub(crate) fn remove_expired(&mut self, now: Millis) -> bool {
        let changes = self.change_count();
        if !self.store_outage.keeps(now) {
            for id in std::mem::take(&mut self.unlisted) {
                self.remove_box(&BoxId::new(id.name()), self.revision, now);
            }
        }
        self.expire_ended_incarnations();
        if !self.cold.is_empty() {
            Arc::make_mut(&mut self.cold).remove_expired(now);
        }
        self.departed.retain(|_, gone| now.since(gone.departed_at) < DEPARTED_RETENTION);
        self.expire_ended_replicas();
        let boxes = &self.boxes;
        let life = |id: &BoxId| {
            if boxes.contains_key(id) { SILENCE_RETENTION } else { DEPARTED_RETENTION }
        };
        self.silent_since.retain(|id, since| now.since(*since) < life(id));
        self.change_count() != changes
    }

    /// Forgets the end of replicas that no box tells of any more.
    fn expire_ended_replicas(&mut self) {
        if self.ended_replicas.is_empty() {
            return;
        }
        let departed = self.departed.values().map(|gone| &gone.site_box);
        let told = self.boxes.values().chain(departed).filter_map(|known| known.member.as_ref());
        let told: BTreeSet<_> = told.map(|member| (&member.replica, member.epoch)).collect();
        self.ended_replicas.retain(|(replica, epoch), _| told.contains(&(replica, *epoch)));
    }

    /// Returns the replicas whose leaders serve no more.
    pub(crate) fn ended_replicas(&self) -> &BTreeMap<(String, Epoch), Epoch> {
        &self.ended_replicas
    }

    /// Returns the epochs that boxes said they left.
    pub(crate) fn left_epochs(&self) -> &BTreeMap<(BoxId, Epoch), Epoch> {
        &self.left_epochs
    }

    /// Returns the configuration in force.
    pub(crate) fn table(&self) -> Option<&Arc<RouteTable>> {
        self.table.as_ref()
    }

    /// Returns the revision up to which everything is known.
    pub(crate) fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns how many changes there have been.
    pub(crate) fn change_count(&self) -> u64 {
        self.change_log.count()
    }

    /// Tells whether all changes after the first `count` are kept.
    pub(crate) fn keeps_changes_since(&self, count: u64) -> bool {
        self.change_log.keeps_since(count)
    }

    /// Returns what changed after the first `count` changes, where that is known.
    ///
    /// The configuration travels by itself.
    pub(crate) fn changes_since(&self, count: u64) -> Option<ChangesSince> {
        let mut since = self.change_log.since(count)?;
        since.records.retain(|record| &*record.key != Driver::CONFIG_KEY);
        Some(since)
    }

    /// Returns the domains' records and all entries as they stand.
    pub(crate) fn snapshot(&self) -> Vec<Document> {
        let domains = self.domain_records.documents();
        let kept = domains.chain(self.entries.values()).chain(self.suspects.copy());
        kept.cloned().chain(self.evacuations.document()).collect()
    }

    /// Tells whether boxes are kept that the store lists no more.
    pub(crate) fn keeps_unlisted(&self) -> bool {
        !self.unlisted.is_empty()
    }

    /// Returns how many boxes are listed.
    pub(crate) fn box_count(&self) -> usize {
        self.boxes.len()
    }

    /// Tells whether the boxes were listed at least once.
    pub(crate) fn is_listed(&self) -> bool {
        self.has_listing
    }

    /// Returns the version of the configuration in force as a revision; none where there is none.
    pub(crate) fn config_revision(&self) -> Revision {
        self.config.as_ref().map(|held| held.revision).unwrap_or_default()
    }

    /// Returns the configuration in force as it was written.
    pub(crate) fn config(&self) -> Option<&Document> {
        self.config.as_ref()
    }

    /// Returns the copies of what operators wrote that peers are to have.
    pub(crate) fn operator_documents(&self) -> Vec<Document> {
        let config = self.config.iter().map(|held| Document {
            key: Arc::from(keys::SITE_CONFIG),
            revision: held.revision,
            body: held.body.clone(),
        });
        config.chain(self.evacuations.document()).collect()
    }

    /// Returns what tells one state of all that operators wrote from another.
    pub(crate) fn operator_revisions(&self) -> (Revision, Revision) {
        (self.config_revision(), self.evacuations.changed_at())
    }

    fn assigned(&self) -> &Arc<AssignedBoxes> {
        self.assigned.get_or_init(|| {
            self.domain_records.assigned_with_listed_ids(|id| self.listed_id_for(id))
        })
    }

    /// Returns all of it as one value; `serve_unlisted` says whether members that are listed no more
    /// may count as there, for which the assignments are needed.
    pub(crate) fn view(&self, nodes: usize, serve_unlisted: bool) -> SiteView {
        SiteView {
            table: self.table.clone(),
            boxes: self.boxes.clone(),
            silent: self.silent_boxes(),
            assigned: match serve_unlisted {
                true => self.assigned().clone(),
                false => Arc::default(),
            },
            suspects: self.suspects.get().1,
            evacuated: self.evacuations.since(),
            cold: self.cold.clone(),
            listed: self.has_listing,
            nodes,
        }
    }
}
