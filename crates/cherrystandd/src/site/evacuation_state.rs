//! The availability zones that operators have evacuated, as a node knows them.
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

/// Holds the evacuated zones, since when each is evacuated, and when other zones were returned to
/// traffic.
#[derive(Default)]
pub(super) struct EvacuationState {
    current: Evacuations,
    /// Since when each zone is known to be evacuated, on this node's clock.
    since: Arc<BTreeMap<ZoneId, Millis>>,
    /// The revision at which each zone was last returned to traffic.
    returned: BTreeMap<ZoneId, Revision>,
}

impl EvacuationState {
    /// Returns the evacuated zones and since when each is known to be evacuated.
    pub(super) fn since(&self) -> Arc<BTreeMap<ZoneId, Millis>> {
        self.since.clone()
    }

    /// Returns the revision of the last change, or 0 while nothing is known.
    pub(super) fn changed_at(&self) -> Revision {
        self.current.changed_at()
    }

    /// Returns the document that is passed on to peers, once anything is known.
    pub(super) fn document(&self) -> Option<Document> {
        let revision = self.current.changed_at();
        let body = serde_json::to_string(&self.current.snapshot());
        let body =
            body.inspect_err(|err| log::error!("evacuated zones cannot be serialized: {err}"));
        let body = body.ok().filter(|_| revision > Revision::NONE)?;
        Some(Document { key: Arc::from(keys::EVACUATED_ZONES), revision, body: Arc::from(body) })
    }

    /// Returns whether a zone was returned to traffic at a later revision than the given one.
    pub(super) fn returned_after(&self, zone: &ZoneId, revision: Revision) -> bool {
        self.returned.get(zone).is_some_and(|at| *at > revision)
    }

    /// Updates the times to the current set of zones. Returns the zones that were returned to
    /// traffic.
    fn sync(&mut self, now: Millis) -> Vec<ZoneId> {
        let (zones, changed) = (self.current.zones(), self.current.changed_at());
        let returned: Vec<ZoneId> =
            self.since.keys().filter(|zone| !zones.contains(*zone)).cloned().collect();
        let since = Arc::make_mut(&mut self.since);
        since.retain(|zone, _| zones.contains(zone));
        for zone in zones {
            since.entry(zone.clone()).or_insert(now);
        }
        self.returned.extend(returned.iter().map(|zone| (zone.clone(), changed)));
        returned
    }
}

/// Returns the zone that a key names.
fn zone_of(key: &str) -> Option<ZoneId> {
    let zone = key.strip_prefix(Driver::EVACUATED_PREFIX)?;
    (!zone.is_empty()).then(|| ZoneId::new(zone))
}

impl SiteState {
    /// Applies changes to what operators wrote. Returns whether anything is new.
    pub(crate) fn apply_operator_changes(&mut self, changes: &Changes, now: Millis) -> bool {
        let mut is_new = self.apply_zone_changes(changes, now);
        for record in changes.records.iter().filter(|record| &*record.key == Driver::CONFIG_KEY) {
            is_new |= self.apply_stored_config(record);
        }
        is_new
    }

    /// Applies the complete list of what operators wrote.
    pub(crate) fn apply_operator_list(&mut self, list: &Changes, now: Millis) {
        for record in list.records.iter().filter(|record| &*record.key == Driver::CONFIG_KEY) {
            self.apply_stored_config(record);
        }
        let mut zones = self.evacuated_zones_in(list);
        if self.may_lack_operator_writes() {
            // The backup may predate an evacuation. Sending nothing to the zone for a moment longer
            // does less harm than sending requests there.
            zones.extend(self.evacuations.current.zones().iter().cloned());
        }
        self.apply_evacuated_zones(zones, list.revision, now);
    }

    /// Applies the complete set of evacuated zones as of a revision. Returns whether any zone was
    /// evacuated or returned to traffic.
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

    /// Applies evacuations and returns from changes in the store. Returns whether there were any.
    ///
    /// A zone is evacuated by the presence of its key, whatever the value holds.
    pub(super) fn apply_zone_changes(&mut self, changes: &Changes, now: Millis) -> bool {
        let evacuated = self.evacuated_zones_in(changes);
        let returned = changes.removed.iter().filter_map(|key| zone_of(key));
        let is_new = self.evacuations.current.apply_changes(evacuated, returned, changes.revision);
        if is_new {
            self.sync_zones(now);
        }
        is_new
    }

    fn evacuated_zones_in(&mut self, changes: &Changes) -> BTreeSet<ZoneId> {
        let mut zones = BTreeSet::new();
        let is_evacuation = |record: &&Document| record.key.starts_with(Driver::EVACUATED_PREFIX);
        for record in changes.records.iter().filter(is_evacuation) {
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

    /// Applies a peer's copy of the evacuated zones. Returns whether anything is new.
    pub(crate) fn apply_evacuation_document(&mut self, document: &Document, now: Millis) -> bool {
        self.apply_evacuation_document_as_of(document, document.revision, now)
    }

    /// Applies the evacuated zones in a peer's snapshot as of a revision.
    pub(super) fn apply_zones_from_snapshot(
        &mut self,
        list: &[Document],
        as_of: Revision,
        now: Millis,
    ) {
        match list.iter().find(|document| &*document.key == keys::EVACUATED_ZONES) {
            Some(document) => {
                _ = self.apply_evacuation_document_as_of(
                    document,
                    document.revision.max(as_of),
                    now,
                )
            }
            None => _ = self.apply_evacuated_zones(BTreeSet::new(), as_of, now),
        }
    }

    fn apply_evacuation_document_as_of(
        &mut self,
        document: &Document,
        as_of: Revision,
        now: Millis,
    ) -> bool {
        match serde_json::from_str::<EvacuatedZones>(&document.body) {
            Ok(evacuated) => self.apply_evacuated_zones(evacuated.zones, as_of, now),
            Err(err) => {
                self.refused.record(document, RefusedKind::EvacuatedZones, &err);
                false
            }
        }
    }

    /// Assumes that the boxes of zones returned to traffic are cold until they state otherwise, and
    /// records the changed set of zones.
    ///
    /// They may have turned cold shortly before, and their entries state that only some time later.
    fn sync_zones(&mut self, now: Millis) {
        for zone in self.evacuations.sync(now) {
            log::info!(zone = zone.as_str(); "an availability zone was returned to traffic");
            let boxes = self.boxes.values().filter(|site_box| site_box.zone == zone);
            let cold = boxes
                .map(|site_box| (site_box.id.clone(), self.cold_start_duration(&site_box.service)));
            let cold: Vec<_> = cold.filter(|(_, lasts)| *lasts > Millis(0)).collect();
            for (id, lasts) in cold {
                Arc::make_mut(&mut self.cold).assume(&id, lasts, now);
            }
        }
        let zones: Vec<&str> =
            self.evacuations.current.zones().iter().map(ZoneId::as_str).collect();
        log::info!(zones = zones.join(", ").as_str(); "the availability zones that get nothing changed");
        if let Some(document) = self.evacuations.document() {
            self.change_log.record(document);
        }
    }

    /// Returns how long a service's endpoints are cold after a start, during which they can handle
    /// fewer requests.
    pub(super) fn cold_start_duration(&self, service: &ServiceName) -> Millis {
        let table = self.table();
        let service = table.and_then(|table| table.config().service(service));
        service.and_then(|service| service.cold).map_or(Millis(0), |cold| cold.duration)
    }
}
