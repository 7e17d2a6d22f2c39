//! Membership, copies of records, evidence and freshness.

mod support;

use std::sync::Arc;

use cherrystand_core::{
    DEAD_AFTER, Document, Documents, DomainId, EVIDENCE_TTL, Epoch, EvidenceTable, FRESH_FOR,
    Freshness, GroupId, Heartbeat, Incarnation, Liveness, Membership, Millis, NodeId, PAUSE_GAP,
    ReplicaEvidence, ReplicaId, Revision, SUSPECT_AFTER, ServeBy, WorkspaceId, owner_of,
};
use proptest::prelude::*;
use support::heartbeat;

fn node(number: usize) -> NodeId {
    NodeId::new(format!("n{number}"))
}

fn beat(number: usize, incarnation: u64, beat: u64) -> Heartbeat {
    Heartbeat { incarnation: Incarnation(incarnation), beat, ..heartbeat(number, "z") }
}

#[test]
fn silent_daemon_is_suspected_and_then_dead() {
    struct Case {
        silence: Millis,
        liveness: Liveness,
    }
    let cases = [
        Case { silence: Millis(0), liveness: Liveness::Alive },
        Case { silence: SUSPECT_AFTER, liveness: Liveness::Alive },
        Case { silence: SUSPECT_AFTER + Millis(1), liveness: Liveness::Suspect },
        Case { silence: DEAD_AFTER + Millis(1), liveness: Liveness::Dead },
    ];
    for case in cases {
        let mut members = Membership::new(beat(0, 1, 0), Millis(0));
        members.merge_heartbeat(beat(1, 1, 1), Millis(0), Millis(0));
        assert_eq!(members.liveness(&node(1), case.silence), case.liveness);
    }
}

#[test]
fn old_heartbeats_revive_nobody_and_a_later_incarnation_wins() {
    struct Case {
        name: &'static str,
        received: Heartbeat,
        liveness: Liveness,
    }
    let cases = [
        Case { name: "the same beat again", received: beat(1, 2, 10), liveness: Liveness::Dead },
        Case { name: "an earlier incarnation", received: beat(1, 1, 99), liveness: Liveness::Dead },
        Case { name: "a later beat", received: beat(1, 2, 11), liveness: Liveness::Alive },
        Case { name: "a later incarnation", received: beat(1, 3, 0), liveness: Liveness::Alive },
    ];
    for case in cases {
        let mut members = Membership::new(beat(0, 1, 0), Millis(0));
        members.merge_heartbeat(beat(1, 2, 10), Millis(0), Millis(0));
        let later = DEAD_AFTER + Millis(1_000);
        members.merge_heartbeat(case.received, Millis(0), later);
        assert_eq!(members.liveness(&node(1), later), case.liveness, "{}", case.name);
    }
}

#[test]
fn pause_starts_a_new_incarnation() {
    let mut members = Membership::new(beat(0, 7, 0), Millis(0));
    assert!(!members.tick(PAUSE_GAP));
    assert_eq!(members.own().incarnation, Incarnation(7));
    assert!(members.tick(PAUSE_GAP + PAUSE_GAP + Millis(1)));
    assert_eq!(members.own().incarnation, Incarnation(8));
    members.merge_heartbeat(beat(0, 12, 5), Millis(0), Millis(9_999));
    assert_eq!(members.own().incarnation, Incarnation(13), "it supersedes what others know of it");
}

#[test]
fn task_moves_only_when_its_owner_leaves() {
    let nodes: Vec<Heartbeat> = (0..10).map(|number| beat(number, 1, 1)).collect();
    let fewer: Vec<Heartbeat> = nodes.iter().filter(|beat| beat.node != node(3)).cloned().collect();
    for task in 0..200 {
        let task = format!("domain-{task}");
        let before = owner_of(&task, &nodes).expect("an owner");
        let after = owner_of(&task, &fewer).expect("an owner");
        if before != &node(3) {
            assert_eq!(before, after, "{task}");
        }
    }
}

#[test]
fn node_serves_while_fresh_and_stops_when_cut_off() {
    struct Case {
        name: &'static str,
        platform_age: Option<u64>,
        peers: &'static [(usize, u64)],
        daemons: usize,
        expected: ServeBy,
        may_accept: bool,
    }
    let late = FRESH_FOR.0 + 1;
    let cases = [
        Case {
            name: "alone and just started",
            platform_age: None,
            peers: &[],
            daemons: 1,
            expected: ServeBy::CutOff,
            may_accept: true,
        },
        Case {
            name: "the platform answers",
            platform_age: Some(10),
            peers: &[],
            daemons: 3,
            expected: ServeBy::Platform,
            may_accept: false,
        },
        Case {
            name: "the platform is unreachable, a majority agrees",
            platform_age: Some(late),
            peers: &[(1, 10)],
            daemons: 3,
            expected: ServeBy::Majority,
            may_accept: true,
        },
        Case {
            name: "the platform is unreachable, half agrees",
            platform_age: Some(late),
            peers: &[(1, 10)],
            daemons: 4,
            expected: ServeBy::CutOff,
            may_accept: false,
        },
        Case {
            name: "the platform is unreachable, and the majority was heard of too long ago",
            platform_age: Some(late),
            peers: &[(1, 8_001), (2, 8_001)],
            daemons: 3,
            expected: ServeBy::CutOff,
            may_accept: false,
        },
        Case {
            name: "its own heartbeat that comes back makes no majority",
            platform_age: Some(late),
            peers: &[(0, 10)],
            daemons: 2,
            expected: ServeBy::CutOff,
            may_accept: false,
        },
        Case {
            name: "a majority that has never seen the platform",
            platform_age: None,
            peers: &[(1, 10), (2, 10)],
            daemons: 3,
            expected: ServeBy::CutOff,
            may_accept: true,
        },
    ];
    let now = Millis(100_000);
    for case in cases {
        let mut state = Freshness::new(node(0), Millis(0));
        state.set_expected((0..case.daemons).map(node));
        if let Some(age) = case.platform_age {
            state.record_platform_read(now, Millis(age));
        }
        for (peer, age) in case.peers {
            state.record_agreement(&node(*peer), now - Millis(*age));
        }
        assert_eq!(state.serve_by(now), case.expected, "{}", case.name);
        assert_eq!(state.may_accept(now), case.may_accept, "{}", case.name);
    }
}

/// Records and freshness of several daemons that exchange them in any order and with any
/// connectivity.
struct Daemons {
    now: Millis,
    records: Vec<Documents>,
    fresh: Vec<Freshness>,
    members: Vec<Membership>,
    written: Revision,
    /// A change that has been written but not yet confirmed to its operator.
    pending: Option<(usize, Revision)>,
    confirmed: Vec<(Millis, Revision)>,
}

impl Daemons {
    fn new(count: usize) -> Self {
        let start = Millis(1_000);
        let mut daemons = Self {
            now: start,
            records: vec![Documents::default(); count],
            fresh: (0..count).map(|number| expecting(number, count, start)).collect(),
            members: (0..count).map(|number| Membership::new(beat(number, 1, 0), start)).collect(),
            written: Revision::new(1),
            pending: None,
            confirmed: Vec::new(),
        };
        (0..count).for_each(|number| daemons.read(number));
        daemons
    }

    fn take(&mut self, number: usize, record: Document) {
        self.records[number].insert_if_newer(record);
        let config = self.records[number].fingerprint();
        self.members[number].set_config(config);
    }

    /// A daemon reads the platform's records.
    fn read(&mut self, number: usize) {
        let revision = self.written;
        self.take(number, Document { key: key(), revision, body: Arc::from("") });
        self.fresh[number].record_platform_read(self.now, Millis(0));
    }

    /// An operator has a change written through a daemon, if that may accept one.
    fn accept(&mut self, number: usize) {
        if self.fresh[number].may_accept(self.now) {
            self.written = Revision::new(self.written.number() + 1);
            self.pending = Some((number, self.written));
            self.read(number);
        }
    }

    /// The operator gets the confirmation once the daemon knows that a majority holds the change.
    fn confirm(&mut self) {
        let Some((number, revision)) = self.pending else {
            return;
        };
        let held = self.records[number].revision("workspace") >= revision;
        if held && self.fresh[number].is_majority(self.members[number].agreeing()) {
            self.confirmed.push((self.now, revision));
            self.pending = None;
        }
    }

    /// One daemon asks another one for updates.
    fn exchange(&mut self, requester: usize, responder: usize) {
        self.members[responder].tick(self.now);
        let roster = self.members[requester].roster(self.now);
        let digest = self.members[responder].digest_for(roster, self.now);
        self.members[requester].merge_digest(digest, Millis(0), self.now);
        for (node, heard) in self.members[requester].agreement_times() {
            self.fresh[requester].record_agreement(node, heard);
        }
        let theirs = self.records[responder].newer_than(&self.records[requester].versions());
        let ours = self.records[requester].newer_than(&self.records[responder].versions());
        if theirs.is_empty()
            && ours.is_empty()
            && let Some(age) = self.fresh[responder].platform_age(self.now)
        {
            self.fresh[requester].record_platform_read(self.now, age);
        }
        theirs.into_iter().for_each(|record| self.take(requester, record));
        ours.into_iter().for_each(|record| self.take(responder, record));
    }
}

fn expecting(number: usize, count: usize, now: Millis) -> Freshness {
    let mut fresh = Freshness::new(node(number), now);
    fresh.set_expected((0..count).map(node));
    fresh
}

fn key() -> Arc<str> {
    Arc::from("workspace")
}

/// The events that may happen to the daemons.
#[derive(Clone, Debug)]
enum Event {
    Read(usize),
    Accept(usize),
    Exchange(usize, usize),
    Wait(u64),
}

fn event(count: usize) -> impl Strategy<Value = Event> {
    prop_oneof![
        1 => (0..count).prop_map(Event::Read),
        1 => (0..count).prop_map(Event::Accept),
        6 => (0..count, 0..count).prop_map(|(requester, responder)| Event::Exchange(requester, responder)),
        2 => (1_u64..4_000).prop_map(Event::Wait),
    ]
}

/// The longest time after the confirmation of a change during which a daemon may still lack it.
const IN_FORCE_WITHIN: Millis = Millis(17_000);

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_daemon_serves_an_outdated_configuration(
        events in prop::collection::vec(event(5), 1..200),
    ) {
        let mut daemons = Daemons::new(5);
        for event in events {
            match event {
                Event::Read(number) => daemons.read(number),
                Event::Accept(number) => daemons.accept(number),
                Event::Exchange(requester, responder) if requester != responder => {
                    daemons.exchange(requester, responder);
                }
                Event::Exchange(..) => {}
                Event::Wait(span) => daemons.now = daemons.now + Millis(span),
            }
            daemons.confirm();
            for number in 0..5 {
                if !daemons.fresh[number].serve_by(daemons.now).may_serve() {
                    continue;
                }
                let held = daemons.records[number].revision("workspace");
                let missing = daemons.confirmed.iter().find(|(_, revision)| *revision > held);
                let late = missing.map(|(at, _)| daemons.now.since(*at)).unwrap_or_default();
                prop_assert!(late <= IN_FORCE_WITHIN, "daemon {} is {:?} late", number, late);
            }
        }
    }

    #[test]
    fn revisions_never_decrease_in_any_order_of_copies(
        copies in prop::collection::vec((0_u8..3, 0_u64..20), 1..100),
    ) {
        let mut records = Documents::default();
        for (name, revision) in copies {
            let key: Arc<str> = Arc::from(name.to_string());
            let before = records.revision(&key);
            let copy = Document { key: key.clone(), revision: Revision::new(revision), body: Arc::from("") };
            let newer = records.insert_if_newer(copy);
            prop_assert_eq!(newer, revision > before.number());
            prop_assert!(records.revision(&key) >= before);
        }
    }

    #[test]
    fn synchronized_daemons_hold_the_same_copies(
        left in prop::collection::vec((0_u8..6, 1_u64..9), 0..12),
        right in prop::collection::vec((0_u8..6, 1_u64..9), 0..12),
    ) {
        let make = |copies: Vec<(u8, u64)>| {
            let mut records = Documents::default();
            for (name, revision) in copies {
                let key = Arc::from(name.to_string());
                records.insert_if_newer(Document { key, revision: Revision::new(revision), body: Arc::from("") });
            }
            records
        };
        let (mut left, mut right) = (make(left), make(right));
        let wanted = right.older_than(&left.versions());
        let newer = right.newer_than(&left.versions());
        newer.into_iter().for_each(|copy| { left.insert_if_newer(copy); });
        for (key, _) in wanted {
            right.insert_if_newer(left.get(&key).expect("held").clone());
        }
        prop_assert_eq!(left.versions(), right.versions());
        prop_assert_eq!(left.fingerprint(), right.fingerprint());
    }

    #[test]
    fn evidence_counts_until_its_oldest_acknowledgement_expires(
        reports in prop::collection::vec((0_u64..4_000, 0_u64..6_000, any::<bool>(), 1_u64..3), 1..40),
    ) {
        let replica = ReplicaId::new(GroupId::new(WorkspaceId::new("w"), "g"), 0);
        let domain = DomainId::new("d");
        let mut table = EvidenceTable::default();
        let mut now = Millis(100_000);
        let mut acknowledged: Vec<(Millis, bool, u64)> = Vec::new();
        for (wait, age, whole, epoch) in reports {
            now = now + Millis(wait);
            let evidence = ReplicaEvidence {
                domain: domain.clone(),
                replica: replica.clone(),
                epoch: Epoch(epoch),
                age: Millis(age),
                whole,
                load: 0,
            };
            table.merge(&evidence, now);
            acknowledged.push((now - Millis(age), whole, epoch));
            for epoch in 1..3 {
                if table.load_if_whole(&domain, &replica, Epoch(epoch), now).is_some() {
                    let fresh = acknowledged.iter().any(|(at, whole, of)| {
                        *whole && *of == epoch && now.since(*at) <= EVIDENCE_TTL
                    });
                    prop_assert!(fresh, "whole under {} without fresh evidence", epoch);
                }
            }
        }
    }
}

#[test]
fn evidence_is_separate_per_domain() {
    let replica = ReplicaId::new(GroupId::new(WorkspaceId::new("w"), "g"), 0);
    let evidence = ReplicaEvidence {
        domain: DomainId::new("old"),
        replica: replica.clone(),
        epoch: Epoch(3),
        age: Millis(0),
        whole: true,
        load: 0,
    };
    let mut table = EvidenceTable::default();
    table.merge(&evidence, Millis(100));
    struct Case {
        domain: &'static str,
        epoch: u64,
        whole: bool,
    }
    let cases = [
        Case { domain: "old", epoch: 3, whole: true },
        Case { domain: "old", epoch: 4, whole: false },
        Case { domain: "new", epoch: 3, whole: false },
    ];
    for case in cases {
        let domain = DomainId::new(case.domain);
        let whole = table.load_if_whole(&domain, &replica, Epoch(case.epoch), Millis(100));
        assert_eq!(whole.is_some(), case.whole, "{} {}", case.domain, case.epoch);
    }
}
