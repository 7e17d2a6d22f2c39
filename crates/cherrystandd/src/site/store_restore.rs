//! A store that comes back from a copy some seconds old.
//!
//! What was written since is gone, and revisions are given out again under a new era. What a daemon that listened holds is
//! newer than the copy, until it is written again.
//!
//! Source: docs/design/0026-a-store-that-comes-back-from-a-copy.md.

use cherrystand_core::{Document, Millis, Revision};
use cherrystand_platform::{Changes, SiteDriver};

use crate::site::Driver;
use crate::site::site_state::SiteState;

/// By this time after it came back operators and boxes have written theirs again, which the copy lacks.
const REWRITE_PERIOD: Millis = Millis(2_500);

/// What a daemon keeps of the store's last return.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StoreRestore {
    /// Up to which revision of the era the copy was listed; what was written before that is no news.
    restored_up_to: Revision,
    /// When everything is listed once more.
    relist_at: Option<Millis>,
}

impl SiteState {
    /// Takes note of the era that a list of the store is of, before the list is taken in.
    pub(crate) fn enter_era(&mut self, listed: Revision, now: Millis) {
        if !self.is_listed() || listed.era() <= self.revision().era() {
            return;
        }
        log::warn!(
            era = listed.era().0, listed = listed.to_string(), known = self.revision().to_string();
            "the store came back from a copy"
        );
        self.store_outage.came_back(now);
        let entries = &self.entries;
        self.tombstones.renew(listed, |name| entries.contains_key(name));
        self.store_restore =
            StoreRestore { restored_up_to: listed, relist_at: Some(now + REWRITE_PERIOD) };
    }

    /// Tells whether the store held a record as it came back from a copy.
    pub(super) fn is_restored(&self, record: &Document) -> bool {
        record.revision <= self.store_restore.restored_up_to
    }

    /// Tells whether an entry is what the copy holds of a box that is known from before; what says that its box
    /// leaves counts whenever it was written, as no life takes that back.
    pub(super) fn is_stale_restored_entry(&self, held: &Document, entry: &Document) -> bool {
        let is_older = held.revision.era() < entry.revision.era() && self.is_restored(entry);
        is_older && !Driver::read_box(&entry.key, &entry.body).is_ok_and(|told| told.leaving)
    }

    /// Takes in that the record of requests that end replicas is not in the store.
    pub(crate) fn mark_suspects_missing(&mut self) {
        self.suspects.mark_missing();
    }

    /// Tells whether everything is to be listed once more, as what the copy lacked is written again by now; it is told
    /// once.
    pub(crate) fn take_relist_due(&mut self, now: Millis) -> bool {
        let is_due = self.store_restore.relist_at.is_some_and(|at| now >= at);
        if is_due {
            self.store_restore.relist_at = None;
        }
        is_due
    }

    /// Tells whether the store's copy may lack what operators wrote.
    pub(super) fn may_lack_operator_writes(&self) -> bool {
        self.store_restore.relist_at.is_some()
    }

    /// Has records of domains that a list lacks written again.
    pub(crate) fn mark_missing_records_lost(&mut self, list: &Changes) {
        let is_listed = |key: &str| list.records.iter().any(|record| &*record.key == key);
        self.domain_records
            .mark_lost(|held| held.revision.era() < list.revision.era() && !is_listed(&held.key));
    }

    /// Takes in that a record is not in the store, though it is held here.
    pub(crate) fn mark_record_lost(&mut self, key: &str) {
        self.domain_records.mark_lost(|held| &*held.key == key);
    }

    /// Takes in a configuration as operators wrote it.
    ///
    /// Its own version says which is the later one: a copy of the store holds an older one at a later revision.
    pub(crate) fn apply_stored_config(&mut self, written: &Document) -> bool {
        if written.revision <= self.stored_config_revision {
            return false;
        }
        self.stored_config_revision = written.revision;
        match Driver::read_config(&written.body) {
            Ok(config) => {
                let revision = Revision::new(config.version);
                self.activate_config(config, Document { revision, ..written.clone() })
            }
            Err(err) => {
                self.refuse_config(written, &err);
                false
            }
        }
    }
}
