//! Which daemons read the store, where the others read, and the changes that are passed on.

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use cherrystand_core::{
    BoxId, ChangeLog, ChangesSince, Document, Heartbeat, Millis, READERS_PER_ZONE, RELAYS_PER_ZONE,
    Revision, RunningTime, Source, SourceSelector, StoreOutage, StoreReachability, ZoneId,
    distributors_of, poll_interval, readers_of, relays_of, watch_interval,
};
use support::heartbeat;

/// Creates heartbeats for the selection of readers.
fn zone_beat(number: usize, zone: &str, decides: bool, serving: bool) -> Heartbeat {
    let changes = Some(SocketAddr::from(([127, 0, 0, 1], 1_000 + number as u16)));
    Heartbeat { decides, serving, changes, ..heartbeat(number, zone) }
}

/// Guards against readers with slow links: readers with links of 20 Mbit/s passed configurations on
/// to twenty peers and were busy for seconds, while two daemons of each zone had links of 200.
#[test]
fn daemons_with_the_fastest_links_are_readers_and_relays() {
    let links = [20, 200, 20, 0, 200, 20];
    let zone = ZoneId::new("a");
    let beats: Vec<Heartbeat> = links
        .iter()
        .enumerate()
        .map(|(number, link)| Heartbeat { link_mbps: *link, ..zone_beat(number, "a", true, true) })
        .collect();
    let links_of =
        |beats: Vec<&Heartbeat>| -> Vec<u32> { beats.iter().map(|beat| beat.link_mbps).collect() };
    let mut alive: Vec<&Heartbeat> = beats.iter().collect();
    assert_eq!(links_of(readers_of(&zone, &alive)), [200; READERS_PER_ZONE]);
    assert_eq!(links_of(relays_of(&zone, &alive)), [200; RELAYS_PER_ZONE]);
    // When they are gone, the next ones take over; an unknown bandwidth ranks last.
    alive.retain(|beat| beat.link_mbps < 200);
    assert_eq!(links_of(readers_of(&zone, &alive)), [20, 20]);
}

#[test]
fn one_daemon_per_zone_reads_the_store() {
    struct Case {
        name: &'static str,
        /// The zone of each daemon, whether it reaches the store and whether it takes requests.
        daemons: &'static [(&'static str, bool, bool)],
        /// How many daemons read the store if nothing fails.
        readers: usize,
    }
    let cases = [
        Case {
            name: "three zones of five",
            daemons: &[
                ("a", true, true),
                ("a", true, true),
                ("a", true, true),
                ("a", true, true),
                ("a", true, true),
                ("b", true, true),
                ("b", true, true),
                ("b", true, true),
                ("c", true, true),
            ],
            readers: 3,
        },
        Case {
            name: "those that the store turns away or that stop do not read",
            daemons: &[
                ("a", false, true),
                ("a", true, true),
                ("a", true, false),
                ("a", true, true),
                ("a", true, true),
            ],
            readers: 1,
        },
        Case {
            name: "nobody reaches the store: all try it",
            daemons: &[("a", false, true), ("b", false, true)],
            readers: 2,
        },
    ];
    for case in cases {
        let beats: Vec<Heartbeat> = case
            .daemons
            .iter()
            .enumerate()
            .map(|(number, (zone, decides, serving))| zone_beat(number, zone, *decides, *serving))
            .collect();
        let alive: Vec<&Heartbeat> = beats.iter().collect();
        let mut stores = 0;
        for own in &beats {
            match SourceSelector::default().choose(own, &alive, Millis(0)) {
                Source::Store => stores += 1,
                Source::Peer(peer) => {
                    let readers = readers_of(&peer.zone, &alive);
                    assert_eq!(readers.first(), Some(&peer), "{}", case.name);
                    assert!(own.zone == peer.zone || !own.decides, "{}", case.name);
                }
            }
        }
        assert_eq!(stores, case.readers, "{}", case.name);
    }
}

#[test]
fn daemon_reads_the_store_while_its_readers_fail() {
    let beats: Vec<Heartbeat> = (0..6).map(|number| zone_beat(number, "a", true, true)).collect();
    let alive: Vec<&Heartbeat> = beats.iter().collect();
    let readers = readers_of(&ZoneId::new("a"), &alive);
    let own = beats.iter().find(|beat| !readers.contains(beat)).expect("a follower");
    let mut sources = SourceSelector::default();
    let now = Millis(10_000);
    for reader in &readers {
        match sources.choose(own, &alive, now) {
            Source::Peer(peer) => assert_eq!(&peer, reader),
            Source::Store => panic!("there is a reader that did not fail"),
        }
        sources.record_failure(&reader.node, now);
    }
    assert_eq!(sources.choose(own, &alive, now), Source::Store);
    assert!(matches!(sources.choose(own, &alive, now + Millis(2_000)), Source::Peer(_)));
}

#[test]
fn change_log_returns_the_last_change_of_each_key() {
    let document = |key: &str, revision| Document {
        key: Arc::from(key),
        revision: Revision::new(revision),
        body: Arc::from(""),
    };
    let mut log = ChangeLog::default();
    log.record(document("boxes/a", 1));
    log.record(document("boxes/b", 2));
    log.record_removal("boxes/a", BoxId::new("a"));
    log.record(document("boxes/b", 4));
    let all = ChangesSince { records: vec![document("boxes/b", 4)], gone: vec![BoxId::new("a")] };
    assert_eq!(log.since(0), Some(all));
    let last = ChangesSince { records: vec![document("boxes/b", 4)], gone: Vec::new() };
    assert_eq!(log.since(3), Some(last));
    assert_eq!(log.since(4), Some(ChangesSince::default()));
    assert_eq!(log.since(5), None, "a count beyond the last change");
    for revision in 5..3_000 {
        log.record(document("boxes/c", revision));
    }
    assert_eq!(log.since(4), None, "changes that are no longer kept");
}

#[test]
fn daemon_decides_once_the_store_has_been_fresh_for_a_while() {
    struct Case {
        name: &'static str,
        /// When the store's state was read, and when the store did not answer.
        updates: &'static [u64],
        failures: &'static [u64],
        decides: bool,
    }
    let cases = [
        Case { name: "no update", updates: &[], failures: &[], decides: false },
        Case { name: "first update just now", updates: &[2_900], failures: &[], decides: false },
        Case {
            name: "fresh for a while",
            updates: &[1_000, 2_000, 2_900],
            failures: &[],
            decides: true,
        },
        Case { name: "failed since", updates: &[1_000, 2_000], failures: &[2_900], decides: false },
        Case { name: "last update too old", updates: &[500, 1_000], failures: &[], decides: false },
    ];
    for case in cases {
        let mut reachability = StoreReachability::default();
        let mut decides = false;
        for now in (0..=3_000).step_by(100) {
            if case.updates.contains(&now) {
                reachability.record_success();
                reachability.record_update(Millis(now));
            }
            if case.failures.contains(&now) {
                reachability.record_failure();
            }
            decides = reachability.may_decide(Millis(now));
        }
        assert_eq!(decides, case.decides, "{}", case.name);
    }
}

/// Guards against too many calls: at 295 daemons something changes all the time; five readers made
/// 3,392 calls to the store in 44 s, and 58 daemons of a zone sent their reader 930 polls a second.
#[test]
fn watch_and_poll_intervals_grow_with_the_daemons() {
    struct Case {
        name: &'static str,
        zones: usize,
        per_zone: usize,
        watches: Millis,
        polls: Millis,
    }
    let cases = [
        Case { name: "one", zones: 1, per_zone: 1, watches: Millis(20), polls: Millis(4) },
        Case { name: "few", zones: 3, per_zone: 3, watches: Millis(60), polls: Millis(12) },
        Case {
            name: "a zone of 28",
            zones: 3,
            per_zone: 28,
            watches: Millis(60),
            polls: Millis(112),
        },
        Case { name: "295", zones: 5, per_zone: 59, watches: Millis(100), polls: Millis(236) },
        Case { name: "most", zones: 8, per_zone: 90, watches: Millis(160), polls: Millis(250) },
    ];
    for case in cases {
        let beats: Vec<Heartbeat> = (0..case.zones * case.per_zone)
            .map(|number| zone_beat(number, &format!("z{}", number % case.zones), true, true))
            .collect();
        let alive: Vec<&Heartbeat> = beats.iter().collect();
        assert_eq!(watch_interval(&alive), case.watches, "{}", case.name);
        assert_eq!(poll_interval(&beats[0].zone, &alive), case.polls, "{}", case.name);
    }
}

/// Guards against false outages: daemons that had been paused for 2 s took that for an outage of
/// the store and retained boxes that had left.
#[test]
fn entries_missing_after_an_outage_are_retained() {
    /// What happened, and when.
    #[derive(Clone, Copy)]
    enum Event {
        Answered(u64),
        AnsweredPeer(u64),
        Failed(u64),
        /// The daemon was paused until the given time.
        Paused(u64),
        /// A peer reports that the store answered it all the time.
        NoOutage,
    }
    struct Case {
        name: &'static str,
        events: &'static [Event],
        at: u64,
        retained: bool,
        /// The length of the outage that peers are asked about.
        unconfirmed: Option<u64>,
    }
    use Event::{Answered, AnsweredPeer, Failed, NoOutage, Paused};
    let case = Case { name: "", events: &[], at: 0, retained: false, unconfirmed: None };
    let cases = [
        Case { name: "never out", events: &[Answered(1_000), Answered(2_000)], at: 2_000, ..case },
        Case {
            name: "silent for long",
            events: &[Answered(1_000), Answered(3_900)],
            at: 4_000,
            retained: true,
            unconfirmed: Some(2_900),
        },
        Case {
            name: "failed once",
            events: &[Answered(1_000), Failed(1_100), Answered(1_200)],
            at: 3_399,
            retained: true,
            unconfirmed: Some(200),
        },
        Case {
            name: "retention over",
            events: &[Answered(1_000), Failed(1_100), Answered(1_200)],
            at: 3_400,
            unconfirmed: Some(200),
            ..case
        },
        Case { name: "still out", events: &[Answered(1_000), Failed(1_050)], at: 1_100, ..case },
        Case {
            name: "a peer decides what to retain",
            events: &[Failed(4_900), AnsweredPeer(5_000)],
            at: 5_100,
            ..case
        },
        Case {
            name: "paused for longer than any silence",
            events: &[Answered(1_000), Paused(9_000), Answered(9_010)],
            at: 9_020,
            ..case
        },
        Case {
            name: "a call timed out meanwhile",
            events: &[Answered(1_000), Paused(3_000), Failed(3_000), Answered(3_200)],
            at: 3_210,
            ..case
        },
        Case {
            name: "the store was out as well",
            events: &[
                Answered(1_000),
                Paused(3_000),
                Failed(3_000),
                Failed(3_300),
                Answered(3_600),
            ],
            at: 3_610,
            retained: true,
            unconfirmed: Some(600),
        },
        Case {
            name: "silent for long before",
            events: &[Answered(1_000), AnsweredPeer(1_000), Paused(1_700), Answered(4_600)],
            at: 4_610,
            retained: true,
            unconfirmed: Some(3_600),
        },
        Case {
            name: "cut off alone",
            events: &[Answered(1_000), Failed(2_000), Answered(5_000), NoOutage],
            at: 5_010,
            unconfirmed: Some(4_000),
            ..case
        },
    ];
    for case in cases {
        let mut outage = StoreOutage::default();
        let mut running_until = 0;
        let run_until = |outage: &mut StoreOutage, from: u64, until: u64| {
            let ticks = (from..until).step_by(RunningTime::TICK_INTERVAL.0 as usize);
            ticks.for_each(|at| outage.record_running(Millis(at)));
        };
        for event in case.events {
            match *event {
                Answered(at) | AnsweredPeer(at) | Failed(at) => {
                    run_until(&mut outage, running_until, at);
                    running_until = at;
                }
                Paused(until) => running_until = until,
                NoOutage => {}
            }
            match *event {
                Answered(at) => outage.record_answer(Millis(at)),
                AnsweredPeer(at) => outage.record_peer_answer(Millis(at), Millis(0), Millis(at)),
                Failed(at) => _ = outage.record_failure(Millis(at)),
                Paused(_) => {}
                NoOutage => outage.clear_outage(),
            }
        }
        assert_eq!(outage.keeps_unlisted(Millis(case.at)), case.retained, "{}", case.name);
        assert_eq!(outage.take_unconfirmed_outage(), case.unconfirmed.map(Millis), "{}", case.name);
    }
}

/// Returns the peer that each daemon of a zone reads from; `None` if it reads the store.
fn sources(alive: &[&Heartbeat]) -> BTreeMap<String, Option<String>> {
    let name = |beat: &Heartbeat| beat.node.as_str().to_owned();
    let of = |own: &Heartbeat| match SourceSelector::default().choose(own, alive, Millis(0)) {
        Source::Store => None,
        Source::Peer(peer) => Some(name(peer)),
    };
    alive.iter().map(|own| (name(own), of(own))).collect()
}

/// Guards against traffic that grows with the square of the fleet: a reader that sent each change
/// to all of its zone sent 1.06 MB/s at 300 daemons and 9.6 at 985, while a small daemon's link
/// carries 2.5.
#[test]
fn polls_per_daemon_grow_with_the_square_root_of_the_zone() {
    for per_zone in [10, 30, 100, 200, 400] {
        let beats: Vec<Heartbeat> =
            (0..per_zone).map(|number| zone_beat(number, "a", true, true)).collect();
        let alive: Vec<&Heartbeat> = beats.iter().collect();
        let sources = sources(&alive);
        let mut followers: BTreeMap<&String, usize> = BTreeMap::new();
        for source in sources.values().flatten() {
            *followers.entry(source).or_default() += 1;
        }
        let most = followers.values().copied().max().unwrap_or_default();
        let bound = if per_zone <= 40 { per_zone } else { 3 * (per_zone as f64).sqrt() as usize };
        println!("{per_zone} daemons: {most} read from one, {} are read from", followers.len());
        assert!(most <= bound, "{per_zone}: {most}");
        assert_eq!(sources.values().filter(|source| source.is_none()).count(), 1, "{per_zone}");
        // No daemon is further from the store than reader, distributor, daemon.
        for own in sources.keys() {
            let mut at = own;
            let mut steps = 0;
            while let Some(source) = &sources[at] {
                (at, steps) = (source, steps + 1);
            }
            assert!(steps <= 2, "{per_zone}: {own} is {steps} away");
        }
    }
}

/// A daemon that joins or leaves should move only those that read from it and few others, since
/// each that moves reads the whole state again.
#[test]
fn few_daemons_change_their_source_when_one_leaves() {
    let beats: Vec<Heartbeat> = (0..200).map(|number| zone_beat(number, "a", true, true)).collect();
    let alive: Vec<&Heartbeat> = beats.iter().collect();
    let before = sources(&alive);
    let zone = ZoneId::new("a");
    let (readers, distributors) = (readers_of(&zone, &alive), distributors_of(&zone, &alive));
    assert_eq!(distributors.len(), 15);
    for (number, beat) in beats.iter().enumerate() {
        let own = beat.node.as_str().to_owned();
        let left: Vec<&Heartbeat> = alive.iter().copied().filter(|other| *other != beat).collect();
        let after = sources(&left);
        let read_from_it = before.values().flatten().filter(|source| **source == own).count();
        let moved = after.iter().filter(|(name, source)| before[*name] != **source).count();
        // If a reader or a distributor leaves, the next daemon in rank takes its place, and some of
        // the others move.
        let is_source = distributors.contains(&beat) || readers.contains(&beat);
        let bound = if is_source { read_from_it + 3 * 15 } else { 0 };
        assert!(moved <= bound, "{number}: {moved} moved, {read_from_it} read from it");
    }
}

/// A daemon whose distributors fail reads from the readers; the store is read by those left without
/// a source.
#[test]
fn daemons_fall_back_to_readers_when_distributors_fail() {
    let beats: Vec<Heartbeat> = (0..100).map(|number| zone_beat(number, "a", true, true)).collect();
    let alive: Vec<&Heartbeat> = beats.iter().collect();
    let zone = ZoneId::new("a");
    let (readers, distributors) = (readers_of(&zone, &alive), distributors_of(&zone, &alive));
    let is_follower = |beat: &&&Heartbeat| !readers.contains(beat) && !distributors.contains(beat);
    let own = alive.iter().find(is_follower).expect("a follower");
    let mut selector = SourceSelector::default();
    let mut tried = Vec::new();
    while let Source::Peer(peer) = selector.choose(own, &alive, Millis(0)) {
        selector.record_failure(&peer.node, Millis(0));
        tried.push(peer);
    }
    assert_eq!(tried.len(), 4);
    assert!(tried[..2].iter().all(|peer| distributors.contains(peer)));
    assert_eq!(tried[2..], readers[..]);
}
