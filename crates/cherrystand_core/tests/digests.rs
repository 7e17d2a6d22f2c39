//! Gossip digests: complete heartbeats, or only the beat numbers.

mod support;

use cherrystand_core::{DEAD_AFTER, Digest, Heartbeat, Incarnation, Membership, Millis};
use proptest::prelude::*;
use support::heartbeat;

fn beat(number: usize, incarnation: u64, beat: u64) -> Heartbeat {
    Heartbeat { incarnation: Incarnation(incarnation), beat, ..heartbeat(number, "z") }
}

/// Returns two daemons of a fleet that know the same heartbeats of all others.
fn two_of(fleet: usize) -> (Membership, Membership) {
    let mut sender = Membership::new(beat(0, 1, 1), Millis(0));
    let mut receiver = Membership::new(beat(fleet - 1, 1, 1), Millis(0));
    for number in 0..fleet {
        sender.merge_heartbeat(beat(number, 1, 1), Millis(0), Millis(0));
        receiver.merge_heartbeat(beat(number, 1, 1), Millis(0), Millis(0));
    }
    (sender, receiver)
}

fn known_heartbeats(members: &Membership, now: Millis) -> Vec<(Heartbeat, Millis)> {
    let mut all = members.digest(now);
    all.sort_by(|(one, _), (other, _)| one.node.cmp(&other.node));
    all
}

#[test]
fn heartbeats_are_sent_complete_only_if_more_than_beats_changed() {
    struct Case {
        name: &'static str,
        change: fn(&mut Heartbeat),
        is_complete: bool,
    }
    let cases = [
        Case { name: "a beat", change: |beat| beat.beat = 2, is_complete: false },
        Case {
            name: "a new incarnation",
            change: |beat| beat.incarnation = Incarnation(2),
            is_complete: true,
        },
        Case { name: "it stops", change: |beat| beat.serving = false, is_complete: true },
        Case {
            name: "the store is unreachable",
            change: |beat| beat.decides = false,
            is_complete: true,
        },
        Case { name: "a configuration", change: |beat| beat.config = 9, is_complete: true },
    ];
    for case in cases {
        let (mut sender, mut receiver) = two_of(6);
        let now = Millis(200);
        let mut update = beat(3, 1, 2);
        (case.change)(&mut update);
        sender.merge_heartbeat(update.clone(), Millis(50), now);
        let digest = sender.digest_for(receiver.roster(now), now);
        assert_eq!(matches!(digest, Digest::Whole(_)), case.is_complete, "{}", case.name);
        let has_news = receiver.merge_digest(digest, Millis(10), now);
        assert_eq!(has_news, case.is_complete, "{}", case.name);
        let known = known_heartbeats(&receiver, now)
            .into_iter()
            .find(|(known, _)| known.node == update.node);
        assert_eq!(known, Some((update, Millis(60))), "{}", case.name);
    }
}

#[test]
fn beats_that_do_not_match_the_roster_are_ignored() {
    struct Case {
        name: &'static str,
        spoil: fn(&mut u64, &mut Vec<(u64, Millis)>),
    }
    let cases = [
        Case { name: "another roster", spoil: |roster, _| *roster ^= 1 },
        Case { name: "too few", spoil: |_, beats| beats.truncate(3) },
        Case { name: "none", spoil: |_, beats| beats.clear() },
        Case { name: "too many", spoil: |_, beats| beats.push((9, Millis(0))) },
        Case { name: "earlier beats", spoil: |_, beats| beats.iter_mut().for_each(|b| b.0 = 0) },
    ];
    for case in cases {
        let (sender, mut receiver) = two_of(6);
        let now = Millis(200);
        let before = known_heartbeats(&receiver, now);
        let Digest::Beats { mut roster, mut beats } = sender.digest_for(receiver.roster(now), now)
        else {
            panic!("{}: both know the same", case.name);
        };
        beats.iter_mut().for_each(|(beat, _)| *beat = 7);
        (case.spoil)(&mut roster, &mut beats);
        receiver.merge_digest(Digest::Beats { roster, beats }, Millis(0), now);
        assert_eq!(known_heartbeats(&receiver, now), before, "{}", case.name);
    }
}

#[test]
fn the_largest_age_does_not_overflow() {
    let (sender, mut receiver) = two_of(3);
    let now = Millis(100);
    let roster = receiver.roster(now);
    let beats = vec![(9, Millis(u64::MAX)); 3];
    receiver.merge_digest(Digest::Beats { roster, beats }, Millis(u64::MAX), now);
    assert_eq!(receiver.roster(now), sender.roster(now));
}

proptest! {
    /// Whatever both knew before, beats alone leave the receiver in the same state as complete
    /// heartbeats would.
    #[test]
    fn beats_have_the_same_effect_as_complete_heartbeats(
        fleet in 3_usize..12,
        heard in proptest::collection::vec((0_usize..12, 1_u64..9, 0_u64..6_000, any::<bool>()), 0..40),
        at in 0_u64..9_000,
    ) {
        let (mut sender, mut receiver) = two_of(fleet);
        let now = Millis(at);
        for (number, count, age, by_sender) in heard {
            let who = if by_sender { &mut sender } else { &mut receiver };
            // No daemon receives beats of its own that it never sent.
            let other = 1 + number % (fleet - 2);
            who.merge_heartbeat(beat(other, 1, count), Millis(age), now);
        }
        let mut by_list = receiver.clone();
        by_list.merge_digest(Digest::Whole(sender.digest(now)), Millis(30), now);
        receiver.merge_digest(sender.digest_for(receiver.roster(now), now), Millis(30), now);
        prop_assert_eq!(known_heartbeats(&receiver, now), known_heartbeats(&by_list, now));
    }
}

#[test]
fn dead_daemons_are_in_no_digest() {
    let (mut sender, mut receiver) = two_of(4);
    let now = DEAD_AFTER + Millis(500);
    for members in [&mut sender, &mut receiver] {
        members.merge_heartbeat(beat(1, 1, 30), Millis(100), now);
    }
    let digest = sender.digest_for(receiver.roster(now), now);
    let Digest::Whole(digest) = digest else { panic!("each takes the other for dead") };
    assert_eq!(digest.len(), 2);
}

/// Guards against beats being accepted without the last daemon's. The check passed if the missing
/// beat was the receiver's own, because that one is skipped.
#[test]
fn beats_without_the_last_daemon_are_ignored_whichever_is_last() {
    for fleet in [2, 3, 9] {
        let (sender, mut receiver) = two_of(fleet);
        let now = Millis(200);
        let before = known_heartbeats(&receiver, now);
        let roster = receiver.roster(now);
        let beats = vec![(7, Millis(0)); fleet - 1];
        receiver.merge_digest(Digest::Beats { roster, beats }, Millis(0), now);
        assert_eq!(known_heartbeats(&receiver, now), before, "{fleet} daemons");
        assert_eq!(roster, sender.roster(now));
    }
}
