//! Handles a store that was restored from a backup some seconds old.
//!
//! The restored store lacks the writes made since the backup, and issues the same revision numbers
//! again under a new era. What a daemon holds from before is newer than the backup until it is
//! written again.
//!
//! Source: docs/design/0026-a-store-that-comes-back-from-a-copy.md.

use cherrystand_core::{Document, Millis, Revision};
use cherrystand_platform::{Changes, SiteDriver};

use crate::site::site_state::SiteState;
use crate::site::{ChangeSource, Driver};

/// How long after the restore operators and boxes may take to rewrite what the backup lacks.
const REWRITE_PERIOD: Millis = Millis(2_500);

/// The last restore of the store.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StoreRestore {
    /// The revision at which the restored store was first listed. Anything up to it comes from the
    /// backup.
    restored_up_to: Revision,
    /// When everything is to be listed again.
    relist_at: Option<Millis>,
}

impl SiteState {
    /// Enters the era that a list of the store belongs to, before the list is applied.
    pub(crate) fn enter_era(&mut self, listed: Revision, now: Millis) {
        if !self.is_listed() || listed.era() <= self.revision().era() {
            return;
        }
        log::warn!(
            era = listed.era().0, listed = listed.to_string(), known = self.revision().to_string();
            "the store came back from a copy"
        );
        self.store_outage.record_restore(now);
        let entries = &self.entries;
        self.tombstones.advance_to_era(listed, |name| entries.contains_key(name));
        self.store_restore =
            StoreRestore { restored_up_to: listed, relist_at: Some(now + REWRITE_PERIOD) };
    }

    /// Returns whether a record comes from the backup that the store was restored from.
    pub(super) fn is_restored(&self, record: &Document) -> bool {
        record.revision <= self.store_restore.restored_up_to
    }

    /// Returns whether an entry comes from the backup while an entry from before the restore is
    /// held.
    ///
    /// An entry that says that its box is leaving is never stale, since no incarnation takes that
    /// back.
    pub(super) fn is_stale_restored_entry(&self, held: &Document, entry: &Document) -> bool {
        let is_older = held.revision.era() < entry.revision.era() && self.is_restored(entry);
        is_older && !Driver::read_box(&entry.key, &entry.body).is_ok_and(|read| read.leaving)
    }

    /// Records that the record of requests that crash replicas is missing from the store.
    pub(crate) fn mark_suspects_missing(&mut self) {
        self.suspects.mark_missing();
    }

    /// Returns whether everything is to be listed again, because what the backup lacked has been
    /// rewritten by now. Returns true once per restore.
    pub(crate) fn take_relist_due(&mut self, now: Millis) -> bool {
        let is_due = self.store_restore.relist_at.is_some_and(|at| now >= at);
        if is_due {
            self.store_restore.relist_at = None;
        }
        is_due
    }

    /// Returns whether the restored store may lack what operators wrote.
    pub(super) fn may_lack_operator_writes(&self) -> bool {
        self.store_restore.relist_at.is_some()
    }

    /// Marks the domain records missing from a list as lost, so that they are written again.
    pub(crate) fn mark_missing_records_lost(&mut self, list: &Changes) {
        let is_listed = |key: &str| list.records.iter().any(|record| &*record.key == key);
        self.domain_records
            .mark_lost(|held| held.revision.era() < list.revision.era() && !is_listed(&held.key));
    }

    /// Marks a domain record that is missing from the store as lost.
    pub(crate) fn mark_record_lost(&mut self, key: &str) {
        self.domain_records.mark_lost(|held| &*held.key == key);
    }

    /// Applies a configuration as operators wrote it.
    ///
    /// Configurations are ordered by their own version: a restored store holds an older one at a
    /// later revision.
    pub(crate) fn apply_stored_config(&mut self, stored: &Document) -> bool {
        if stored.revision <= self.stored_config_revision {
            return false;
        }
        self.stored_config_revision = stored.revision;
        match Driver::read_config(&stored.body) {
            Ok(config) => {
                let revision = Revision::new(config.version);
                let document = Document { revision, ..stored.clone() };
                self.activate_config(config, document, &ChangeSource::Store)
            }
            Err(err) => {
                self.refuse_config(stored, &err);
                false
            }
        }
    }
}
