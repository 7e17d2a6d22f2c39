//! Tests that the state of the site does not depend on the order in which the store and peers
//! report changes.

use std::collections::BTreeSet;
use std::sync::Arc;

use cherrystand_core::{
    BoxId, Document, DomainId, DomainRecord, Epoch, Era, Millis, NodeId, Revision,
};
use cherrystand_platform::{Changes, SiteDriver};
use cherrystand_testkit::site_config;

use crate::keys;
use crate::site::Driver;
use crate::site::change_source::ChangeSource;
use crate::site::site_state::SiteState;

/// A box and the revision of its entry.
type Entry = (&'static str, u64);

fn entry((id, revision): &Entry) -> Document {
    let body = r#"{"service": "app", "address": "127.0.0.1:9", "zone": "z1", "version": "v1",
        "slots": 8, "state": "ready", "cold_left_ms": 0, "seq_no": 0}"#;
    Document {
        key: Arc::from(Driver::box_key(&BoxId::new(*id))),
        revision: Revision::new(*revision),
        body: Arc::from(body),
    }
}

fn entries(all: &[Entry]) -> Vec<Document> {
    all.iter().map(entry).collect()
}

/// Guards against a removed box coming back: a daemon that had been paused passed on the old entry
/// at the same revision, and requests were sent to the box 3.2 s after it had left.
#[test]
fn an_older_snapshot_does_not_bring_a_removed_box_back() {
    /// An update, as of a revision.
    enum Update {
        Listed(&'static [Entry], u64),
        Changed(Entry),
        Removed(&'static str, u64),
        /// A peer's snapshot of everything.
        Snapshot(&'static [Entry], u64),
    }
    use Update::{Changed, Listed, Removed, Snapshot};
    struct Case {
        name: &'static str,
        updates: &'static [Update],
        listed: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "an older snapshot",
            updates: &[Listed(&[("a", 5)], 5), Removed("a", 7), Snapshot(&[("a", 5)], 6)],
            listed: &[],
        },
        Case {
            name: "a later snapshot of a peer that keeps it",
            updates: &[Listed(&[("a", 5)], 5), Removed("a", 7), Snapshot(&[("a", 5)], 9)],
            listed: &[],
        },
        Case {
            name: "a heartbeat in transit",
            updates: &[Listed(&[("a", 5)], 5), Removed("a", 7), Changed(("a", 6))],
            listed: &[],
        },
        Case {
            name: "it is listed again",
            updates: &[Listed(&[("a", 5)], 5), Removed("a", 7), Snapshot(&[("a", 8)], 8)],
            listed: &["a"],
        },
        Case {
            name: "a snapshot from before it was listed",
            updates: &[Listed(&[("a", 5)], 5), Changed(("b", 8)), Snapshot(&[("a", 5)], 6)],
            listed: &["a", "b"],
        },
        Case {
            name: "a snapshot taken after it was removed",
            updates: &[Listed(&[("a", 5), ("b", 4)], 5), Snapshot(&[("b", 4)], 6)],
            listed: &["b"],
        },
        Case {
            name: "followed by a snapshot from before that",
            updates: &[Listed(&[("a", 5)], 5), Snapshot(&[], 7), Snapshot(&[("a", 5)], 6)],
            listed: &[],
        },
    ];
    for case in cases {
        let mut state = SiteState::default();
        let now = Millis(100);
        let peer = ChangeSource::Peer(NodeId::new("n1"));
        for update in case.updates {
            match update {
                Listed(all, at) => state.apply_list(&entries(all), Revision::new(*at), now),
                Changed(one) => {
                    let (revision, records) = (Revision::new(one.1), vec![entry(one)]);
                    state.apply_changes(&Changes { revision, records, removed: Vec::new() }, now);
                }
                Removed(id, at) => {
                    let removed = vec![Driver::box_key(&BoxId::new(*id))];
                    let revision = Revision::new(*at);
                    state.apply_changes(&Changes { revision, records: Vec::new(), removed }, now);
                }
                Snapshot(all, at) => {
                    state.apply_snapshot(peer.clone(), &entries(all), Revision::new(*at), now);
                }
            }
        }
        let listed: BTreeSet<&str> = state.boxes.keys().map(BoxId::as_str).collect();
        assert_eq!(listed, case.listed.iter().copied().collect(), "{}", case.name);
    }
}

/// Applies the store's list in an era, as of a revision number.
fn list_in_era(state: &mut SiteState, era: u64, listed: &[Document], number: u64, now: Millis) {
    let in_era = |document: &Document| {
        let revision = Revision::in_era(Era(era), document.revision.number());
        Document { revision, ..document.clone() }
    };
    let listed: Vec<Document> = listed.iter().map(in_era).collect();
    let as_of = Revision::in_era(Era(era), number);
    state.enter_era(as_of, now);
    state.apply_list(&listed, as_of, now);
}

/// Guards against a store restored from a backup that lists boxes which have left, lacks boxes that
/// serve, and holds older entries of others. Later entries were ignored, or old ones applied as
/// new.
#[test]
fn held_entries_are_newer_than_a_restored_backup_until_rewritten() {
    struct Case {
        name: &'static str,
        /// What the backup lists at revision number 40, and which of these boxes it lists as
        /// leaving.
        backup: &'static [Entry],
        leaving_in_backup: &'static [&'static str],
        /// What is written after that.
        rewritten: &'static [Entry],
        /// How long after the restore the state is checked, in milliseconds.
        after_ms: u64,
        listed: &'static [&'static str],
        leaving: &'static [&'static str],
    }
    let case = Case {
        name: "",
        backup: &[],
        leaving_in_backup: &[],
        rewritten: &[],
        after_ms: 10,
        listed: &["stays", "leaves"],
        leaving: &["leaves"],
    };
    let all: &[Entry] = &[("stays", 10), ("leaves", 11), ("gone", 12)];
    let cases = [
        Case { name: "it lists a removed box, and a leaving one as ready", backup: all, ..case },
        Case {
            name: "a removed box is written again",
            backup: all,
            rewritten: &[("gone", 41)],
            listed: &["stays", "leaves", "gone"],
            ..case
        },
        Case { name: "it lists nothing", ..case },
        Case {
            name: "it lists nothing, and nothing is rewritten",
            after_ms: 2_300,
            listed: &[],
            leaving: &[],
            ..case
        },
        Case {
            name: "it lists nothing, and one box is rewritten",
            rewritten: &[("stays", 41)],
            after_ms: 2_300,
            listed: &["stays"],
            leaving: &[],
            ..case
        },
        Case {
            name: "a box announced before the list that it is leaving",
            backup: all,
            leaving_in_backup: &["stays"],
            leaving: &["stays", "leaves"],
            ..case
        },
    ];
    for case in cases {
        let mut state = SiteState::default();
        let now = Millis(10_000);
        let leaving = |entry: &Entry| leaving_entry(&self::entry(entry));
        state.apply_list(&entries(&[("stays", 50), ("gone", 52)]), Revision::new(52), now);
        let changes = |records, removed, number| Changes {
            revision: Revision::new(number),
            records,
            removed,
        };
        state.apply_changes(&changes(vec![leaving(&("leaves", 55))], Vec::new(), 55), now);
        let removed = vec![Driver::box_key(&BoxId::new("gone"))];
        state.apply_changes(&changes(Vec::new(), removed, 60), now);
        let backup = case.backup.iter().map(|one| match case.leaving_in_backup.contains(&one.0) {
            true => leaving(one),
            false => entry(one),
        });
        list_in_era(&mut state, 1, &backup.collect::<Vec<_>>(), 40, now);
        for one in case.rewritten {
            let revision = Revision::in_era(Era(1), one.1);
            let records = vec![Document { revision, ..entry(one) }];
            state.apply_changes(
                &Changes { revision, records, removed: Vec::new() },
                now + Millis(5),
            );
        }
        state.remove_expired(now + Millis(case.after_ms));
        let listed: BTreeSet<&str> = state.boxes.keys().map(BoxId::as_str).collect();
        assert_eq!(listed, case.listed.iter().copied().collect(), "{}", case.name);
        let leaving = state.boxes.values().filter(|site_box| site_box.leaving);
        let leaving: BTreeSet<&str> = leaving.map(|site_box| site_box.id.as_str()).collect();
        assert_eq!(leaving, case.leaving.iter().copied().collect(), "{}", case.name);
    }
}

/// Returns the entry with its box leaving.
fn leaving_entry(entry: &Document) -> Document {
    Document { body: Arc::from(entry.body.replace("ready", "draining")), ..entry.clone() }
}

/// Guards against an older domain record: a backup holds the record of an earlier epoch while boxes
/// already follow the later one.
#[test]
fn a_domain_record_of_a_later_epoch_is_kept_and_rewritten() {
    struct Case {
        name: &'static str,
        /// The last epoch of the record in the backup, if it has one.
        backup: Option<u64>,
        is_lost: bool,
        last_epoch: u64,
    }
    let cases = [
        Case { name: "an earlier epoch", backup: Some(3), is_lost: true, last_epoch: 5 },
        Case { name: "the same epoch", backup: Some(5), is_lost: false, last_epoch: 5 },
        Case { name: "none", backup: None, is_lost: true, last_epoch: 5 },
        Case {
            name: "a later epoch, written since",
            backup: Some(6),
            is_lost: false,
            last_epoch: 6,
        },
    ];
    for case in cases {
        let domain = DomainId::new("z1-d0");
        let record = |last_epoch| DomainRecord {
            last_epoch: Epoch(last_epoch),
            ..DomainRecord::empty(domain.clone())
        };
        let document = |last_epoch: u64, revision| Document {
            key: Arc::from(keys::domain(&domain)),
            revision,
            body: Arc::from(serde_json::to_string(&record(last_epoch)).expect("a record")),
        };
        let mut state = SiteState::default();
        let now = Millis(10_000);
        state.apply_list(&[], Revision::new(60), now);
        state.apply_domain_record(&document(5, Revision::new(50)));
        let as_of = Revision::in_era(Era(1), 40);
        let records = case.backup.map(|epoch| document(epoch, Revision::in_era(Era(1), 30)));
        let listed = Changes {
            revision: as_of,
            records: records.into_iter().collect(),
            removed: Vec::new(),
        };
        state.enter_era(as_of, now);
        state.mark_missing_records_lost(&listed);
        state.apply_changes(&listed, now);
        let (_, held) = state.record(&domain);
        assert_eq!(held.last_epoch, Epoch(case.last_epoch), "{}", case.name);
        assert_eq!(state.is_record_lost(&domain), case.is_lost, "{}", case.name);
    }
}

/// Guards against a daemon that lists the boxes only as it learns that their zone was returned: it
/// took none of them for cold and sent one 17 to 31 requests in a second.
#[test]
fn boxes_that_are_listed_as_their_zone_returns_are_taken_for_cold() {
    let now = Millis(10_000);
    let mut config = site_config(1, "/calls/", &["k1"], 6_000);
    config["services"][1]["cold_per_s"] = 4.0.into();
    config["services"][1]["cold_start_s"] = 3.0.into();
    let config = Document {
        key: Arc::from(Driver::CONFIG_KEY),
        revision: Revision::new(1),
        body: Arc::from(config.to_string()),
    };
    let evacuated = Document {
        key: Arc::from(keys::EVACUATED_ZONES),
        revision: Revision::new(3),
        body: Arc::from(r#"{"zones": ["z1"]}"#),
    };
    let operators =
        Changes { revision: Revision::new(9), records: vec![config], removed: Vec::new() };
    let mut state = SiteState::default();
    state.apply_evacuation_document(&evacuated, now);
    state.apply_operator_list(&operators, now);
    state.apply_list(&entries(&[("a", 5), ("b", 12)]), Revision::new(12), now);
    let view = state.view(1, false);
    let until = |id| view.cold.until(&BoxId::new(id));
    assert_eq!(until("a"), Some(now + Millis(3_000)), "its entry was written before the return");
    assert_eq!(until("b"), None, "its entry was written since, and says that it is warm");
}
