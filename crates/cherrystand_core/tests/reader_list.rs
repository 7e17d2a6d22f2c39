//! The list of readers that is published in the store.

mod support;

use std::net::SocketAddr;

use cherrystand_core::{Heartbeat, Millis, NodeId, ReaderList, ReaderListPublisher};
use support::heartbeat;

fn reader_heartbeat(number: usize) -> Heartbeat {
    let changes = Some(SocketAddr::from(([127, 0, 0, 1], 1_000 + number as u16)));
    Heartbeat { changes, ..heartbeat(number, "z") }
}

fn list_of(beats: &[Heartbeat]) -> ReaderList {
    let alive: Vec<&Heartbeat> = beats.iter().collect();
    ReaderList::of_zone(&beats[0], &alive)
}

#[test]
fn readers_asked_depend_on_rank() {
    let beats: Vec<Heartbeat> = (0..6).map(reader_heartbeat).collect();
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
    struct Step {
        name: &'static str,
        at: u64,
        /// The number of daemons.
        daemons: usize,
        own: usize,
        due: bool,
    }
    let all: Vec<Heartbeat> = (0..6).map(reader_heartbeat).collect();
    let rank = |count: usize, rank: usize| {
        let node = &list_of(&all[..count]).readers[rank].node;
        all.iter().position(|beat| &beat.node == node).expect("one of them")
    };
    let (first, second) = (rank(6, 0), rank(6, 1));
    let steps = [
        Step { name: "just seen", at: 0, daemons: 6, own: first, due: false },
        Step { name: "not settled", at: 500, daemons: 6, own: first, due: false },
        Step { name: "settled", at: 1_000, daemons: 6, own: first, due: true },
        Step { name: "written", at: 1_500, daemons: 6, own: first, due: false },
        Step { name: "not the first any more", at: 2_000, daemons: 6, own: second, due: false },
        Step { name: "the first again", at: 2_500, daemons: 6, own: first, due: false },
        Step { name: "and settled", at: 3_500, daemons: 6, own: first, due: true },
    ];
    let mut publisher = ReaderListPublisher::default();
    for step in steps {
        let list = list_of(&all[..step.daemons]);
        let due = publisher.due(&all[step.own].node, list, Millis(step.at));
        assert_eq!(due.is_some(), step.due, "{}", step.name);
        if let Some(list) = due {
            publisher.record_written(list);
        }
    }
}

#[test]
fn failed_write_is_retried_later() {
    let beats = [reader_heartbeat(0)];
    let mut publisher = ReaderListPublisher::default();
    let due = |publisher: &mut ReaderListPublisher, at| {
        publisher.due(&beats[0].node, list_of(&beats), Millis(at)).is_some()
    };
    assert!(!due(&mut publisher, 0));
    assert!(due(&mut publisher, 1_000));
    publisher.record_failure(Millis(1_000));
    assert!(!due(&mut publisher, 1_500));
    assert!(due(&mut publisher, 2_000));
}
