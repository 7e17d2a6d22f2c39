//! Which availability zones operators have emptied, as a node is told of it.
//!
//! Source: docs/design/0023-evacuated-zones-and-cold-endpoints.md.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cherrystand_core::{
    Document, EvacuatedZones, Evacuations, Millis, Revision, ServiceName, ZoneId,
};
use cherrystand_platform::{Changes, FormatError, SiteDriver};

use crate::keys;
use crate::site::Driver;
use crate::site::refused_values::RefusedKind;
use crate::site::site_state::SiteState;

/// Keeps the zones, since when each is empty, and when others were taken back.
#[derive(Default)]
pub(super) struct EvacuationState {
    current: Evacuations,
    /// Since when, on this node's clock.
    since: Arc<BTreeMap<ZoneId, Millis>>,
    /// By which revision zones were last taken back.
    returned: BTreeMap<ZoneId, Revision>,
}

impl EvacuationState {
    /// Returns the zones, and since when each is empty.
    pub(super) fn since(&self) -> Arc<BTreeMap<ZoneId, Millis>> {
        self.since.clone()
    }

    /// Returns the revision of the last change; 0 while nothing is known.
    pub(super) fn changed_at(&self) -> Revision {
        self.current.changed_at()
    }

    /// Returns the copy that peers get, once anything is known.
    pub(super) fn document(&self) -> Option<Document> {
        let revision = self.current.changed_at();
        let body = serde_json::to_string(&self.current.snapshot());
        let body = body.inspect_err(|err| log::error!("emptied zones cannot be written: {err}"));
        let body = body.ok().filter(|_| revision > Revision::NONE)?;
        Some(Document { key: Arc::from(keys::EMPTIED_ZONES), revision, body: Arc::from(body) })
    }

    /// Tells whether a zone was taken back later than by a revision.
    pub(super) fn returned_after(&self, zone: &ZoneId, revision: Revision) -> bool {
        self.returned.get(zone).is_some_and(|at| *at > revision)
    }

    /// Follows the zones held, and returns those that were taken back.
    fn sync(&mut self, now: Millis) -> Vec<ZoneId> {
        let (zones, changed) = (self.current.zones(), self.current.changed_at());
        let back: Vec<ZoneId> =
            self.since.keys().filter(|zone| !zones.contains(*zone)).cloned().collect();
        let since = Arc::make_mut(&mut self.since);
        since.retain(|zone, _| zones.contains(zone));
        for zone in zones {
            since.entry(zone.clone()).or_insert(now);
        }
        self.returned.extend(back.iter().map(|zone| (zone.clone(), changed)));
        back
    }
}

/// Returns the zone that a key stands for.
fn zone_of(key: &str) -> Option<ZoneId> {
    let zone = key.strip_prefix(Driver::EVACUATED)?;
    (!zone.is_empty()).then(|| ZoneId::new(zone))
}

impl SiteState {
    /// Takes in what changed of what operators wrote, and tells whether anything is new.
    pub(crate) fn apply_operator_changes(&mut self, changes: &Changes, now: Millis) -> bool {
        let mut is_new = self.apply_zone_changes(changes, now);
        for record in changes.records.iter().filter(|record| &*record.key == Driver::CONFIG_KEY) {
            is_new |= self.apply_stored_config(record);
        }
        is_new
    }

    /// Takes in all that operators wrote.
    pub(crate) fn apply_operator_list(&mut self, list: &Changes, now: Millis) {
        for record in list.records.iter().filter(|record| &*record.key == Driver::CONFIG_KEY) {
            self.apply_stored_config(record);
        }
        let mut zones = self.evacuated_zones_in(list);
        if self.may_lack_operator_writes() {
            // A copy may lack that a zone was emptied; sending nothing there for a moment more harms less.
            zones.extend(self.evacuations.current.zones().iter().cloned());
        }
        self.apply_evacuated_zones(zones, list.revision, now);
    }

    /// Takes in all zones that are emptied as of a revision; tells whether any was emptied or taken back.
    fn apply_evacuated_zones(
        &mut self,
        zones: BTreeSet<ZoneId>,
        as_of: Revision,
        now: Millis,
    ) -> bool {
        let is_new = self.evacuations.current.replace(zones, as_of);
        if is_new {
            self.sync_zones(now);
        }
        is_new
    }

    /// Takes in which zones were emptied or taken back; tells whether any was.
    ///
    /// The key counts, whatever its value holds.
    pub(super) fn apply_zone_changes(&mut self, changes: &Changes, now: Millis) -> bool {
        let emptied = self.evacuated_zones_in(changes);
        let back = changes.gone.iter().filter_map(|key| zone_of(key));
        let is_new = self.evacuations.current.apply_changes(emptied, back, changes.revision);
        if is_new {
            self.sync_zones(now);
        }
        is_new
    }

    fn evacuated_zones_in(&mut self, changes: &Changes) -> BTreeSet<ZoneId> {
        let mut zones = BTreeSet::new();
        let below = |record: &&Document| record.key.starts_with(Driver::EVACUATED);
        for record in changes.records.iter().filter(below) {
            match zone_of(&record.key) {
                Some(zone) => _ = zones.insert(zone),
                None => {
                    let reason = "its key names no availability zone".to_owned();
                    let err = FormatError { key: record.key.to_string(), reason };
                    self.refused.record(record, RefusedKind::EvacuatedZones, &err);
                }
            }
        }
        zones
    }

    /// Takes in a peer's copy of the zones; tells whether anything is new.
    pub(crate) fn apply_evacuation_document(&mut self, copy: &Document, now: Millis) -> bool {
        self.apply_evacuation_document_as_of(copy, copy.revision, now)
    }

    /// Takes in the zones of a peer's copy of everything as of a revision.
    pub(super) fn apply_zones_from_snapshot(
        &mut self,
        list: &[Document],
        as_of: Revision,
        now: Millis,
    ) {
        match list.iter().find(|copy| &*copy.key == keys::EMPTIED_ZONES) {
            Some(copy) => {
                _ = self.apply_evacuation_document_as_of(copy, copy.revision.max(as_of), now)
            }
            None => _ = self.apply_evacuated_zones(BTreeSet::new(), as_of, now),
        }
    }

    fn apply_evacuation_document_as_of(
        &mut self,
        copy: &Document,
        as_of: Revision,
        now: Millis,
    ) -> bool {
        match serde_json::from_str::<EvacuatedZones>(&copy.body) {
            Ok(emptied) => self.apply_evacuated_zones(emptied.zones, as_of, now),
            Err(err) => {
                self.refused.record(copy, RefusedKind::EvacuatedZones, &err);
                false
            }
        }
    }

    /// Has the boxes of zones that were taken back taken for cold until they say otherwise, and passes the zones
    /// on.
    ///
    /// They may have turned cold shortly before, and their entries tell of it some time later.
    fn sync_zones(&mut self, now: Millis) {
        for zone in self.evacuations.sync(now) {
            log::info!(zone = zone.as_str(); "an availability zone is taken back");
            let boxes = self.boxes.values().filter(|known| known.zone == zone);
            let cold =
                boxes.map(|known| (known.id.clone(), self.cold_start_duration(&known.service)));
            let cold: Vec<_> = cold.filter(|(_, lasts)| *lasts > Millis(0)).collect();
            for (id, lasts) in cold {
                Arc::make_mut(&mut self.cold).assume(&id, lasts, now);
            }
        }
        let zones: Vec<&str> =
            self.evacuations.current.zones().iter().map(ZoneId::as_str).collect();
        log::info!(zones = zones.join(", ").as_str(); "the availability zones that get nothing changed");
        if let Some(copy) = self.evacuations.document() {
            self.change_log.record(copy);
        }
    }

    /// Returns how long a service's endpoints are cold after a start, where they bear less then.
    pub(super) fn cold_start_duration(&self, service: &ServiceName) -> Millis {
        let table = self.table();
        let service = table.and_then(|table| table.config().service(service));
        service.and_then(|service| service.cold).map_or(Millis(0), |cold| cold.lasts)
    }
}
