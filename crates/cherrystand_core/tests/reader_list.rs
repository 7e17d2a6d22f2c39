//! The list of readers that is published in the store.

mod support;

use std::net::SocketAddr;

use cherrystand_core::{Heartbeat, Millis, NodeId, ReaderList, ReaderListPublisher};
use support::heartbeat;

fn reading(number: usize) -> Heartbeat {
    let changes = Some(SocketAddr::from(([127, 0, 0, 1], 1_000 + number as u16)));
    Heartbeat { changes, ..heartbeat(number, "z") }
}

fn list_of(beats: &[Heartbeat]) -> ReaderList {
    let alive: Vec<&Heartbeat> = beats.iter().collect();
    ReaderList::of_zone(&beats[0], &alive)
}

#[test]
fn readers_asked_depend_on_rank() {
    let beats: Vec<Heartbeat> = (0..6).map(reading).collect();
    let list = list_of(&beats);
    assert_eq!(list.readers.len(), 2);
    for beat in &beats {
        let asked: Vec<&NodeId> =
            list.readers_for(&beat.node).iter().map(|reader| &reader.node).collect();
        let (first, second) = (&list.readers[0].node, &list.readers[1].node);
        let expected = match &beat.node {
            node if node == first => vec![],
            node if node == second => vec![first],
            _ => vec![first, second],
        };
        assert_eq!(asked, expected, "{}", beat.node);
    }
}

#[test]
fn first_reader_publishes_settled_lists() {
    struct Look {
        name: &'static str,
        at: u64,
        /// The number of daemons.
        daemons: usize,
        own: usize,
        due: bool,
    }
    let all: Vec<Heartbeat> = (0..6).map(reading).collect();
    let rank = |count: usize, rank: usize| {
        let node = &list_of(&all[..count]).readers[rank].node;
        all.iter().position(|beat| &beat.node == node).expect("one of them")
    };
    let (first, second) = (rank(6, 0), rank(6, 1));
    let looks = [
        Look { name: "just seen", at: 0, daemons: 6, own: first, due: false },
        Look { name: "not settled", at: 500, daemons: 6, own: first, due: false },
        Look { name: "settled", at: 1_000, daemons: 6, own: first, due: true },
        Look { name: "written", at: 1_500, daemons: 6, own: first, due: false },
        Look { name: "not the first any more", at: 2_000, daemons: 6, own: second, due: false },
        Look { name: "the first again", at: 2_500, daemons: 6, own: first, due: false },
        Look { name: "and settled", at: 3_500, daemons: 6, own: first, due: true },
    ];
    let mut keeper = ReaderListPublisher::default();
    for look in looks {
        let list = list_of(&all[..look.daemons]);
        let due = keeper.due(&all[look.own].node, list, Millis(look.at));
        assert_eq!(due.is_some(), look.due, "{}", look.name);
        if let Some(list) = due {
            keeper.record_written(list);
        }
    }
}

#[test]
fn failed_write_is_retried_later() {
    let beats = [reading(0)];
    let mut keeper = ReaderListPublisher::default();
    let due = |keeper: &mut ReaderListPublisher, at| {
        keeper.due(&beats[0].node, list_of(&beats), Millis(at)).is_some()
    };
    assert!(!due(&mut keeper, 0));
    assert!(due(&mut keeper, 1_000));
    keeper.record_failure(Millis(1_000));
    assert!(!due(&mut keeper, 1_500));
    assert!(due(&mut keeper, 2_000));
}
