//! What a node knows of boxes by what the store and peers tell in any order.

use std::collections::BTreeSet;
use std::sync::Arc;

use cherrystand_core::{
    BoxId, Document, DomainId, DomainRecord, Epoch, Era, Millis, NodeId, Revision,
};
use cherrystand_platform::{Changes, SiteDriver};

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

/// Story: daemons that had seen a box's entry go took it back, at the same revision, from one that had stood still, and
/// sent it requests 3.2 s after it left.
#[test]
fn what_has_left_is_not_taken_back_by_an_older_copy() {
    /// What is told, as of a revision.
    enum Told {
        Listed(&'static [Entry], u64),
        Changed(Entry),
        Gone(&'static str, u64),
        /// A peer's copy of everything.
        Copied(&'static [Entry], u64),
    }
    use Told::{Changed, Copied, Gone, Listed};
    struct Case {
        name: &'static str,
        told: &'static [Told],
        there: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "a copy from before",
            told: &[Listed(&[("a", 5)], 5), Gone("a", 7), Copied(&[("a", 5)], 6)],
            there: &[],
        },
        Case {
            name: "a later copy of one that keeps it",
            told: &[Listed(&[("a", 5)], 5), Gone("a", 7), Copied(&[("a", 5)], 9)],
            there: &[],
        },
        Case {
            name: "a heartbeat that was on its way",
            told: &[Listed(&[("a", 5)], 5), Gone("a", 7), Changed(("a", 6))],
            there: &[],
        },
        Case {
            name: "it came again",
            told: &[Listed(&[("a", 5)], 5), Gone("a", 7), Copied(&[("a", 8)], 8)],
            there: &["a"],
        },
        Case {
            name: "a copy from before it came",
            told: &[Listed(&[("a", 5)], 5), Changed(("b", 8)), Copied(&[("a", 5)], 6)],
            there: &["a", "b"],
        },
        Case {
            name: "a copy that knows that it went",
            told: &[Listed(&[("a", 5), ("b", 4)], 5), Copied(&[("b", 4)], 6)],
            there: &["b"],
        },
        Case {
            name: "and one from before that",
            told: &[Listed(&[("a", 5)], 5), Copied(&[], 7), Copied(&[("a", 5)], 6)],
            there: &[],
        },
    ];
    for case in cases {
        let mut known = SiteState::default();
        let now = Millis(100);
        let peer = ChangeSource::Peer(NodeId::new("n1"));
        for told in case.told {
            match told {
                Listed(all, at) => known.apply_list(&entries(all), Revision::new(*at), now),
                Changed(one) => {
                    let (revision, records) = (Revision::new(one.1), vec![entry(one)]);
                    known.apply_changes(&Changes { revision, records, gone: Vec::new() }, now);
                }
                Gone(id, at) => {
                    let gone = vec![Driver::box_key(&BoxId::new(*id))];
                    let revision = Revision::new(*at);
                    known.apply_changes(&Changes { revision, records: Vec::new(), gone }, now);
                }
                Copied(all, at) => {
                    known.apply_snapshot(peer.clone(), &entries(all), Revision::new(*at), now);
                }
            }
        }
        let there: BTreeSet<&str> = known.boxes.keys().map(BoxId::as_str).collect();
        assert_eq!(there, case.there.iter().copied().collect(), "{}", case.name);
    }
}

/// What the store lists in an era, as of a number.
fn list_in_era(known: &mut SiteState, era: u64, listed: &[Document], number: u64, now: Millis) {
    let in_era = |document: &Document| {
        let revision = Revision::in_era(Era(era), document.revision.number());
        Document { revision, ..document.clone() }
    };
    let listed: Vec<Document> = listed.iter().map(in_era).collect();
    let as_of = Revision::in_era(Era(era), number);
    known.enter_era(as_of, now);
    known.apply_list(&listed, as_of, now);
}

/// Story: a store that came back from a copy listed boxes that had left, lacked some that served, and held older words of
/// others; what was read after that was passed over or taken for news.
#[test]
fn what_a_daemon_holds_is_newer_than_the_copy_until_it_is_written_again() {
    struct Case {
        name: &'static str,
        /// What is listed by number 40, and what of that says that it leaves.
        copy: &'static [Entry],
        leaves_in_copy: &'static [&'static str],
        /// What is written after that.
        written: &'static [Entry],
        /// How long after its return it is looked at.
        after: u64,
        there: &'static [&'static str],
        leaving: &'static [&'static str],
    }
    let case = Case {
        name: "",
        copy: &[],
        leaves_in_copy: &[],
        written: &[],
        after: 10,
        there: &["stays", "leaves"],
        leaving: &["leaves"],
    };
    let all: &[Entry] = &[("stays", 10), ("leaves", 11), ("gone", 12)];
    let cases = [
        Case { name: "it lists what is gone, and one that leaves as ready", copy: all, ..case },
        Case {
            name: "what was gone is written again",
            copy: all,
            written: &[("gone", 41)],
            there: &["stays", "leaves", "gone"],
            ..case
        },
        Case { name: "it lacks everything", ..case },
        Case {
            name: "and nothing is written again",
            after: 2_300,
            there: &[],
            leaving: &[],
            ..case
        },
        Case {
            name: "one is written again",
            written: &[("stays", 41)],
            after: 2_300,
            there: &["stays"],
            leaving: &[],
            ..case
        },
        Case {
            name: "one said that it leaves before the list",
            copy: all,
            leaves_in_copy: &["stays"],
            leaving: &["stays", "leaves"],
            ..case
        },
    ];
    for case in cases {
        let mut known = SiteState::default();
        let now = Millis(10_000);
        let leaving = |entry: &Entry| leaving_entry(&self::entry(entry));
        known.apply_list(&entries(&[("stays", 50), ("gone", 52)]), Revision::new(52), now);
        let changes =
            |records, gone, number| Changes { revision: Revision::new(number), records, gone };
        known.apply_changes(&changes(vec![leaving(&("leaves", 55))], Vec::new(), 55), now);
        let gone = vec![Driver::box_key(&BoxId::new("gone"))];
        known.apply_changes(&changes(Vec::new(), gone, 60), now);
        let copy = case.copy.iter().map(|one| match case.leaves_in_copy.contains(&one.0) {
            true => leaving(one),
            false => entry(one),
        });
        list_in_era(&mut known, 1, &copy.collect::<Vec<_>>(), 40, now);
        for one in case.written {
            let revision = Revision::in_era(Era(1), one.1);
            let records = vec![Document { revision, ..entry(one) }];
            known.apply_changes(&Changes { revision, records, gone: Vec::new() }, now + Millis(5));
        }
        known.remove_expired(now + Millis(case.after));
        let there: BTreeSet<&str> = known.boxes.keys().map(BoxId::as_str).collect();
        assert_eq!(there, case.there.iter().copied().collect(), "{}", case.name);
        let leave = known.boxes.values().filter(|known| known.leaving);
        let leave: BTreeSet<&str> = leave.map(|known| known.id.as_str()).collect();
        assert_eq!(leave, case.leaving.iter().copied().collect(), "{}", case.name);
    }
}

/// Makes an entry say that its box leaves.
fn leaving_entry(entry: &Document) -> Document {
    Document { body: Arc::from(entry.body.replace("ready", "draining")), ..entry.clone() }
}

/// Story: none that users saw. A copy holds a domain's record of an earlier epoch, while boxes follow the later one.
#[test]
fn a_record_of_a_later_epoch_stands_and_is_written_again() {
    struct Case {
        name: &'static str,
        /// The last epoch of the record in the copy, where it has one.
        copy: Option<u64>,
        is_lost: bool,
        last_epoch: u64,
    }
    let cases = [
        Case { name: "an earlier one", copy: Some(3), is_lost: true, last_epoch: 5 },
        Case { name: "the same", copy: Some(5), is_lost: false, last_epoch: 5 },
        Case { name: "none", copy: None, is_lost: true, last_epoch: 5 },
        Case { name: "a later one, written since", copy: Some(6), is_lost: false, last_epoch: 6 },
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
        let mut known = SiteState::default();
        let now = Millis(10_000);
        known.apply_list(&[], Revision::new(60), now);
        known.apply_domain_record(&document(5, Revision::new(50)));
        let as_of = Revision::in_era(Era(1), 40);
        let records = case.copy.map(|epoch| document(epoch, Revision::in_era(Era(1), 30)));
        let listed =
            Changes { revision: as_of, records: records.into_iter().collect(), gone: Vec::new() };
        known.enter_era(as_of, now);
        known.mark_missing_records_lost(&listed);
        known.apply_changes(&listed, now);
        let (_, held) = known.record(&domain);
        assert_eq!(held.last_epoch, Epoch(case.last_epoch), "{}", case.name);
        assert_eq!(known.is_record_lost(&domain), case.is_lost, "{}", case.name);
    }
}
