//! The state of one daemon and how news changes it.

use std::collections::BTreeMap;
use std::sync::Arc;

use cherrystand_core::{
    Document, Documents, DomainRecord, EvidenceTable, Fleet, Freshness, Heartbeat, Membership,
    Millis, ReplicaEvidence, Revision, Version, WorkspaceRecord,
};
use cherrystand_peer::{Carried, Greeting, News, Question, Reply};
use cherrystand_platform::Inventory;
use serde::de::DeserializeOwned;

use crate::config_versions::ConfigVersions;
use crate::keys;
use crate::state::{Held, StateEvent, View, routes_of};

/// How many bytes of records go into one message between daemons.
const RECORD_BYTES_PER_MESSAGE: usize = 1 << 20;

/// Keeps what one daemon knows; it does no I/O and takes the time from outside.
pub(crate) struct NodeState {
    membership: Membership,
    documents: Documents,
    evidence: EvidenceTable,
    freshness: Freshness,
    fleet: Arc<Fleet>,
    workspaces: BTreeMap<Arc<str>, Arc<Held<WorkspaceRecord>>>,
    domains: BTreeMap<Arc<str>, Arc<Held<DomainRecord>>>,
    config_versions: ConfigVersions,
    /// Whether the whole configuration is asked for, since what changed in it did not fit.
    ask_whole: bool,
    /// Whether anything changed that others are to see at once, and not by the next tick.
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
            ask_whole: false,
            changed: true,
        }
    }

    /// Beats once, and tells whether the daemon was paused; what it knew of replicas and of the
    /// configuration's age then counts for nothing by its own age.
    pub(crate) fn tick(&mut self, now: Millis) -> bool {
        // What is published gets older with each beat.
        self.changed = true;
        self.evidence.prune(now);
        self.membership.tick(now)
    }

    /// Takes in an event, answering through its channel where it has one.
    pub(crate) fn take(&mut self, event: StateEvent, now: Millis) {
        match event {
            StateEvent::Asked(question, reply) => {
                // Whoever asked may have given up meanwhile.
                let _ = reply.send(self.answer(question, now));
            }
            StateEvent::GreetingWanted(reply) => {
                let _ = reply.send(self.greeting(now));
            }
            StateEvent::NewsCame { news, asked, next } => {
                let differs = self.hear(news, asked, now);
                let question = differs.then(|| Question::Compare(self.versions_held()));
                let _ = next.send(question);
            }
            StateEvent::Compared { newer, wanted, hand_over } => {
                self.take_carried(newer);
                let found = wanted.iter().filter_map(|(key, _)| self.documents.get(key)).cloned();
                let records = self.carry(fit_message(found), &wanted);
                let question = (!records.is_empty()).then_some(Question::Take(records));
                let _ = hand_over.send(question);
            }
            StateEvent::Records(records) => self.take_records(records),
            StateEvent::PlatformRead { asked } => {
                self.changed = true;
                self.freshness.record_platform_read(now, now.since(asked));
            }
            StateEvent::Listed(inventory) => self.take_list(&inventory),
            StateEvent::Evidence(all) => {
                self.changed = true;
                for evidence in &all {
                    self.evidence.merge(evidence, now);
                }
            }
            StateEvent::Decides(decides) => {
                self.changed = true;
                self.membership.set_decides(decides);
            }
            StateEvent::Draining => {
                self.changed = true;
                self.membership.set_serving(false);
            }
        }
    }

    /// Tells whether anything changed since the last call that others are to see at once.
    ///
    /// Beats and the questions of peers are not: a relay of 59 daemons is asked some 85 times a
    /// second, and published as often a view that said nothing new.
    pub(crate) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Returns all that is known as one value.
    pub(crate) fn view(&self, now: Millis) -> View {
        let own = self.membership.own().clone();
        let routes =
            routes_of(&own.zone, &self.workspaces, &self.domains, &self.fleet, &self.evidence, now);
        let members = self.membership.all(now).into_iter();
        View {
            made: now,
            serve_by: self.freshness.serve_by(now),
            may_accept: self.freshness.may_accept(now),
            heard: self.freshness.heard_of_expected(now),
            majority_holds: self.freshness.is_majority(self.membership.agreeing()),
            platform_age: self.freshness.platform_age(now),
            members: members.map(|(beat, standing)| (beat.clone(), standing)).collect(),
            workspaces: self.workspaces.clone(),
            domains: self.domains.clone(),
            fleet: self.fleet.clone(),
            passed_on: self.documents.with_prefix(keys::PASSED_ON).cloned().collect(),
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
            Question::Compare(theirs) => Reply::Compared {
                newer: self
                    .carry(fit_message(self.documents.newer_than(&theirs).into_iter()), &theirs),
                wanted: self.wanted(&theirs),
            },
            Question::Take(records) => {
                self.take_carried(records);
                Reply::Taken
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

    /// Returns the news for a peer with a roster.
    fn news(&self, roster: u64, now: Millis) -> News {
        News {
            from: self.membership.own().clone(),
            members: self.membership.digest_for(roster, now),
            platform_age: self.freshness.platform_age(now),
            fingerprint: self.documents.fingerprint(),
            evidence: self.evidence.export(now),
        }
    }

    /// Takes in a peer's news, and tells whether its records differ.
    ///
    /// Whatever it says the age of something is, the time since it was asked comes on top.
    fn hear(&mut self, news: News, asked: Millis, now: Millis) -> bool {
        let on_the_way = now.since(asked);
        self.changed |= self.membership.merge_digest(news.members, on_the_way, now);
        for (node, heard) in self.membership.agreement_times() {
            self.freshness.record_agreement(node, heard);
        }
        self.changed |= !news.evidence.is_empty();
        for evidence in &news.evidence {
            let age = evidence.age + on_the_way;
            self.evidence.merge(&ReplicaEvidence { age, ..evidence.clone() }, now);
        }
        let differs = news.fingerprint != self.documents.fingerprint();
        if let Some(age) = news.platform_age.filter(|_| !differs) {
            // Only records that are the same here are as fresh as the peer says.
            self.changed = true;
            self.freshness.record_platform_read(now, age + on_the_way);
        }
        differs
    }

    /// Returns the versions held, without that of the configuration where the whole is to come.
    fn versions_held(&self) -> Vec<Version> {
        let mut versions = self.documents.versions();
        versions.retain(|(key, _)| !(self.ask_whole && &**key == keys::SITE_CONFIG));
        versions
    }

    /// Returns the versions held of what a peer that holds `theirs` has newer copies of.
    fn wanted(&self, theirs: &[Version]) -> Vec<Version> {
        let mut wanted = self.documents.older_than(theirs);
        let whole = |key: &str| self.ask_whole && key == keys::SITE_CONFIG;
        wanted
            .iter_mut()
            .filter(|(key, _)| whole(key))
            .for_each(|(_, held)| *held = Revision::NONE);
        wanted
    }

    /// Makes records ready for a peer that holds the versions `theirs`.
    fn carry(&self, records: Vec<Document>, theirs: &[Version]) -> Vec<Carried> {
        let held = |key: &str| theirs.iter().find(|(held, _)| &**held == key);
        let carry = |record: Document| {
            let theirs = held(&record.key).map(|(_, revision)| *revision).unwrap_or_default();
            let packed = match &*record.key {
                keys::SITE_CONFIG => self.config_versions.newer_than(theirs),
                _ => None,
            };
            match packed {
                Some(body) => Carried::Packed { key: record.key, body },
                None => Carried::Whole(record),
            }
        };
        records.into_iter().map(carry).collect()
    }

    /// Takes in what a peer sent; what does not fit is asked for whole the next time.
    fn take_carried(&mut self, records: Vec<Carried>) {
        for carried in records {
            match carried {
                Carried::Whole(record) => self.take_record(record),
                Carried::Packed { key, body } => {
                    let is_newer = self.documents.revision(&key) < body.revision;
                    if !is_newer {
                        continue;
                    }
                    let unpacked = self.config_versions.unpack(&key, &body);
                    self.ask_whole = unpacked.is_err();
                    if let Ok(record) = unpacked {
                        self.take_record(record);
                    }
                }
            }
        }
    }

    fn take_records(&mut self, records: Vec<Document>) {
        for record in records {
            self.take_record(record);
        }
    }

    fn take_record(&mut self, document: Document) {
        let key = document.key.clone();
        if !self.documents.insert_if_newer(document.clone()) {
            return;
        }
        self.changed = true;
        if key.starts_with(keys::WORKSPACES) {
            read_record(&document, &mut self.workspaces);
            let config = self.documents.fingerprint_of_prefix(keys::WORKSPACES);
            self.membership.set_config(config);
        } else if key.starts_with(keys::DOMAINS) {
            read_record(&document, &mut self.domains);
        } else if &*key == keys::INVENTORY {
            match serde_json::from_str::<Inventory>(&document.body) {
                Ok(inventory) => self.apply_list(inventory),
                Err(err) => log::error!(key = &*key; "the box list is malformed: {err}"),
            }
        }
    }

    /// Turns the platform's list into a record like the others, so that peers carry it on.
    fn take_list(&mut self, inventory: &Inventory) {
        let version = Revision::new(inventory.version);
        if version <= self.documents.revision(keys::INVENTORY) {
            return;
        }
        let Ok(body) = serde_json::to_string(inventory) else {
            return;
        };
        self.take_record(Document {
            key: Arc::from(keys::INVENTORY),
            revision: version,
            body: Arc::from(body),
        });
    }

    fn apply_list(&mut self, inventory: Inventory) {
        self.freshness.set_expected(inventory.nodes);
        self.fleet = Arc::new(Fleet::new(inventory.boxes));
    }
}

fn read_record<T: DeserializeOwned>(
    document: &Document,
    records: &mut BTreeMap<Arc<str>, Arc<Held<T>>>,
) {
    match serde_json::from_str(&document.body) {
        Ok(record) => {
            let held = Held { revision: document.revision, record };
            records.insert(document.key.clone(), Arc::new(held));
        }
        Err(err) => log::error!(key = &*document.key; "a record is malformed: {err}"),
    }
}

fn fit_message(records: impl Iterator<Item = Document>) -> Vec<Document> {
    let mut bytes = 0;
    let mut fitting = Vec::new();
    for record in records {
        bytes += record.body.len();
        fitting.push(record);
        if bytes >= RECORD_BYTES_PER_MESSAGE {
            break;
        }
    }
    fitting
}
