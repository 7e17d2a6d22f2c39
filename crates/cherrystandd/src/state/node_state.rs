//! The state of one daemon and how events change it.

use std::collections::BTreeMap;
use std::sync::Arc;

use cherrystand_core::{
    Document, Documents, DomainRecord, EvidenceTable, Fleet, Freshness, Heartbeat, Membership,
    Millis, ReplicaEvidence, Revision, Version, WorkspaceRecord,
};
use cherrystand_peer::{Greeting, News, Question, Reply, TransferredRecord};
use cherrystand_platform::Inventory;
use serde::de::DeserializeOwned;

use crate::config_versions::ConfigVersions;
use crate::keys;
use crate::state::{StateEvent, Versioned, View, build_routes};

/// No more records are added to a message between daemons once their bodies have this size, in bytes.
const RECORD_BYTES_PER_MESSAGE: usize = 1 << 20;

/// The state of one daemon. It does no I/O, and its callers pass in the time.
pub(crate) struct NodeState {
    membership: Membership,
    documents: Documents,
    evidence: EvidenceTable,
    freshness: Freshness,
    fleet: Arc<Fleet>,
    workspaces: BTreeMap<Arc<str>, Arc<Versioned<WorkspaceRecord>>>,
    domains: BTreeMap<Arc<str>, Arc<Versioned<DomainRecord>>>,
    config_versions: ConfigVersions,
    /// Whether to request the full text of the configuration, because the last packed version from a
    /// peer could not be unpacked.
    request_full_config: bool,
    /// Whether anything changed that has to be published at once instead of at the next tick.
    changed: bool,
}

impl NodeState {
    /// Creates the state of a daemon that has just started.
    pub(crate) fn new(own: Heartbeat, config_versions: ConfigVersions, now: Millis) -> Self {
        let freshness = Freshness::new(own.node.clone(), now);
        Self {
            membership: Membership::new(own, now),
            documents: Documents::default(),
            evidence: EvidenceTable::default(),
            freshness,
            fleet: Arc::default(),
            workspaces: BTreeMap::new(),
            domains: BTreeMap::new(),
            config_versions,
            request_full_config: false,
            changed: true,
        }
    }

    /// Increments the heartbeat and returns whether the daemon was paused.
    ///
    /// After a pause, evidence of replicas and the time of the last contact with the platform need no
    /// reset: both expire by age.
    pub(crate) fn tick(&mut self, now: Millis) -> bool {
        // The published ages have to be updated with each heartbeat.
        self.changed = true;
        self.evidence.prune(now);
        self.membership.tick(now)
    }

    /// Applies an event, and answers it if it is a request.
    pub(crate) fn apply(&mut self, event: StateEvent, now: Millis) {
        match event {
            StateEvent::PeerQuestion(question, reply) => {
                // Fails if the requester has given up in the meantime.
                let _ = reply.send(self.answer(question, now));
            }
            StateEvent::GetGreeting(reply) => {
                let _ = reply.send(self.greeting(now));
            }
            StateEvent::PeerNews { news, asked_at, next } => {
                let differs = self.apply_news(news, asked_at, now);
                let question = differs.then(|| Question::Compare(self.held_versions()));
                let _ = next.send(question);
            }
            StateEvent::PeerComparison { newer, wanted, to_send } => {
                self.apply_transferred(newer);
                let requested =
                    wanted.iter().filter_map(|(key, _)| self.documents.get(key)).cloned();
                let records = self.pack_records(limit_to_message(requested), &wanted);
                let question = (!records.is_empty()).then_some(Question::Store(records));
                let _ = to_send.send(question);
            }
            StateEvent::Records(records) => self.apply_records(records),
            StateEvent::PlatformRead { asked_at } => {
                self.changed = true;
                self.freshness.record_platform_read(now, now.since(asked_at));
            }
            StateEvent::Inventory(inventory) => self.record_inventory(&inventory),
            StateEvent::Evidence(reports) => {
                self.changed = true;
                for evidence in &reports {
                    self.evidence.merge(evidence, now);
                }
            }
            StateEvent::MayDecide(decides) => {
                self.changed = true;
                self.membership.set_decides(decides);
            }
            StateEvent::Draining => {
                self.changed = true;
                self.membership.set_serving(false);
            }
        }
    }

    /// Returns whether anything changed since the last call that has to be published at once.
    ///
    /// A peer's question or newer heartbeat does not count on its own. In a deployment of 59 daemons each
    /// one receives about 85 questions a second, and would publish an unchanged view as often.
    pub(crate) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Returns the state as one immutable value.
    pub(crate) fn view(&self, now: Millis) -> View {
        let own = self.membership.own().clone();
        let routes = build_routes(
            &own.zone,
            &self.workspaces,
            &self.domains,
            &self.fleet,
            &self.evidence,
            now,
        );
        let members = self.membership.all(now).into_iter();
        View {
            made_at: now,
            serve_by: self.freshness.serve_by(now),
            may_accept: self.freshness.may_accept(now),
            reachable_daemons: self.freshness.reachable_daemons(now),
            majority_agrees: self.freshness.is_majority(self.membership.agreeing()),
            platform_age: self.freshness.platform_age(now),
            members: members.map(|(heartbeat, liveness)| (heartbeat.clone(), liveness)).collect(),
            workspaces: self.workspaces.clone(),
            domains: self.domains.clone(),
            fleet: self.fleet.clone(),
            site_records: self.documents.with_prefix(keys::SITE_RECORDS).cloned().collect(),
            routes: Arc::new(routes),
            own,
        }
    }

    fn answer(&mut self, question: Question, now: Millis) -> Reply {
        match question {
            Question::News(greeting) => {
                self.changed |= self.membership.merge_heartbeat(greeting.from, Millis(0), now);
                Reply::News(self.news(greeting.roster, now))
            }
            Question::Compare(peer_versions) => Reply::Compared {
                newer: self.pack_records(
                    limit_to_message(self.documents.newer_than(&peer_versions).into_iter()),
                    &peer_versions,
                ),
                wanted: self.wanted_versions(&peer_versions),
            },
            Question::Store(records) => {
                self.apply_transferred(records);
                Reply::Stored
            }
        }
    }

    fn greeting(&self, now: Millis) -> Greeting {
        Greeting {
            from: self.membership.own().clone(),
            fingerprint: self.documents.fingerprint(),
            roster: self.membership.roster(now),
        }
    }

    /// Returns the news for a peer that holds the given roster.
    fn news(&self, roster: u64, now: Millis) -> News {
        News {
            from: self.membership.own().clone(),
            members: self.membership.digest_for(roster, now),
            platform_age: self.freshness.platform_age(now),
            fingerprint: self.documents.fingerprint(),
            evidence: self.evidence.export(now),
        }
    }

    /// Applies a peer's news, and returns whether its records differ from those held here.
    ///
    /// The time since the question was sent is added to all ages in the peer's answer.
    fn apply_news(&mut self, news: News, asked_at: Millis, now: Millis) -> bool {
        let elapsed = now.since(asked_at);
        self.changed |= self.membership.merge_digest(news.members, elapsed, now);
        for (node, agreed_at) in self.membership.agreement_times() {
            self.freshness.record_agreement(node, agreed_at);
        }
        self.changed |= !news.evidence.is_empty();
        for evidence in &news.evidence {
            let age = evidence.age + elapsed;
            self.evidence.merge(&ReplicaEvidence { age, ..evidence.clone() }, now);
        }
        let differs = news.fingerprint != self.documents.fingerprint();
        if let Some(age) = news.platform_age.filter(|_| !differs) {
            // The peer's age applies to this daemon only if both hold the same records.
            self.changed = true;
            self.freshness.record_platform_read(now, age + elapsed);
        }
        differs
    }

    /// Returns the versions held here. Leaves out that of the configuration if its full text has to be
    /// requested, so that the peer sends it whole.
    fn held_versions(&self) -> Vec<Version> {
        let mut versions = self.documents.versions();
        versions.retain(|(key, _)| !(self.request_full_config && &**key == keys::SITE_CONFIG));
        versions
    }

    /// Returns the records to request from a peer that holds newer versions of them, each with the
    /// version held here. `peer_versions` are the versions of the peer.
    fn wanted_versions(&self, peer_versions: &[Version]) -> Vec<Version> {
        let mut wanted = self.documents.older_than(peer_versions);
        let wants_full = |key: &str| self.request_full_config && key == keys::SITE_CONFIG;
        wanted
            .iter_mut()
            .filter(|(key, _)| wants_full(key))
            .for_each(|(_, held)| *held = Revision::NONE);
        wanted
    }

    /// Packs records for a peer that holds the versions `peer_versions`.
    fn pack_records(
        &self,
        records: Vec<Document>,
        peer_versions: &[Version],
    ) -> Vec<TransferredRecord> {
        let find_version = |key: &str| peer_versions.iter().find(|(held, _)| &**held == key);
        let transfer = |record: Document| {
            let peer_revision =
                find_version(&record.key).map(|(_, revision)| *revision).unwrap_or_default();
            let packed = match &*record.key {
                keys::SITE_CONFIG => self.config_versions.newer_than(peer_revision),
                _ => Ok(None),
            };
            let packed = packed.unwrap_or_else(|err| {
                log::error!("the configuration is sent whole, as it cannot be packed: {err}");
                None
            });
            match packed {
                Some(body) => TransferredRecord::Packed { key: record.key, body },
                None => TransferredRecord::Whole(record),
            }
        };
        records.into_iter().map(transfer).collect()
    }

    /// Applies the records that a peer sent. If a packed one cannot be unpacked, its full text is
    /// requested in the next exchange.
    fn apply_transferred(&mut self, records: Vec<TransferredRecord>) {
        for transferred in records {
            match transferred {
                TransferredRecord::Whole(record) => self.apply_record(record),
                TransferredRecord::Packed { key, body } => {
                    let is_newer = self.documents.revision(&key) < body.revision;
                    if !is_newer {
                        continue;
                    }
                    let unpacked = self.config_versions.unpack(&key, &body);
                    self.request_full_config = unpacked.is_err();
                    if let Ok(record) = unpacked {
                        self.apply_record(record);
                    }
                }
            }
        }
    }

    fn apply_records(&mut self, records: Vec<Document>) {
        for record in records {
            self.apply_record(record);
        }
    }

    fn apply_record(&mut self, document: Document) {
        let key = document.key.clone();
        if !self.documents.insert_if_newer(document.clone()) {
            return;
        }
        self.changed = true;
        if key.starts_with(keys::WORKSPACES) {
            parse_record(&document, &mut self.workspaces);
            let config = self.documents.fingerprint_of_prefix(keys::WORKSPACES);
            self.membership.set_config(config);
        } else if key.starts_with(keys::DOMAINS) {
            parse_record(&document, &mut self.domains);
        } else if &*key == keys::INVENTORY {
            match serde_json::from_str::<Inventory>(&document.body) {
                Ok(inventory) => self.apply_inventory(inventory),
                Err(err) => log::error!(key = &*key; "malformed box list: {err}"),
            }
        }
    }

    /// Stores the platform's box list as a record, so that it is exchanged with peers like the others.
    fn record_inventory(&mut self, inventory: &Inventory) {
        let version = Revision::new(inventory.version);
        if version <= self.documents.revision(keys::INVENTORY) {
            return;
        }
        let Ok(body) = serde_json::to_string(inventory) else {
            return;
        };
        self.apply_record(Document {
            key: Arc::from(keys::INVENTORY),
            revision: version,
            body: Arc::from(body),
        });
    }

    fn apply_inventory(&mut self, inventory: Inventory) {
        self.freshness.set_expected(inventory.nodes);
        self.fleet = Arc::new(Fleet::new(inventory.boxes));
    }
}

fn parse_record<T: DeserializeOwned>(
    document: &Document,
    records: &mut BTreeMap<Arc<str>, Arc<Versioned<T>>>,
) {
    match serde_json::from_str(&document.body) {
        Ok(record) => {
            let versioned = Versioned { revision: document.revision, record };
            records.insert(document.key.clone(), Arc::new(versioned));
        }
        Err(err) => log::error!(key = &*document.key; "malformed record: {err}"),
    }
}

/// Returns the first of the given records, until they reach the size limit of one message.
fn limit_to_message(records: impl Iterator<Item = Document>) -> Vec<Document> {
    let mut bytes = 0;
    let mut records_to_send = Vec::new();
    for record in records {
        bytes += record.body.len();
        records_to_send.push(record);
        if bytes >= RECORD_BYTES_PER_MESSAGE {
            break;
        }
    }
    records_to_send
}
