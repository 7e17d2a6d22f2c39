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
    let mut teller = Membership::new(beat(0, 1, 1), Millis(0));
    let mut hearer = Membership::new(beat(fleet - 1, 1, 1), Millis(0));
    for number in 0..fleet {
        teller.merge_heartbeat(beat(number, 1, 1), Millis(0), Millis(0));
        hearer.merge_heartbeat(beat(number, 1, 1), Millis(0), Millis(0));
    }
    (teller, hearer)
}

fn heard_of(members: &Membership, now: Millis) -> Vec<(Heartbeat, Millis)> {
    let mut all = members.digest(now);
    all.sort_by(|(one, _), (other, _)| one.node.cmp(&other.node));
    all
}

#[test]
fn heartbeats_are_sent_complete_only_if_more_than_beats_changed() {
    struct Case {
        name: &'static str,
        change: fn(&mut Heartbeat),
        whole: bool,
    }
    let cases = [
        Case { name: "a beat", change: |beat| beat.beat = 2, whole: false },
        Case {
            name: "a new incarnation",
            change: |beat| beat.incarnation = Incarnation(2),
            whole: true,
        },
        Case { name: "it stops", change: |beat| beat.serving = false, whole: true },
        Case { name: "the store is unreachable", change: |beat| beat.decides = false, whole: true },
        Case { name: "a configuration", change: |beat| beat.config = 9, whole: true },
    ];
    for case in cases {
        let (mut teller, mut hearer) = two_of(6);
        let now = Millis(200);
        let mut news = beat(3, 1, 2);
        (case.change)(&mut news);
        teller.merge_heartbeat(news.clone(), Millis(50), now);
        let told = teller.digest_for(hearer.roster(now), now);
        assert_eq!(matches!(told, Digest::Whole(_)), case.whole, "{}", case.name);
        let is_news = hearer.merge_digest(told, Millis(10), now);
        assert_eq!(is_news, case.whole, "{}", case.name);
        let held = heard_of(&hearer, now).into_iter().find(|(held, _)| held.node == news.node);
        assert_eq!(held, Some((news, Millis(60))), "{}", case.name);
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
        let (teller, mut hearer) = two_of(6);
        let now = Millis(200);
        let before = heard_of(&hearer, now);
        let Digest::Beats { mut roster, mut beats } = teller.digest_for(hearer.roster(now), now)
        else {
            panic!("{}: both know the same", case.name);
        };
        beats.iter_mut().for_each(|(beat, _)| *beat = 7);
        (case.spoil)(&mut roster, &mut beats);
        hearer.merge_digest(Digest::Beats { roster, beats }, Millis(0), now);
        assert_eq!(heard_of(&hearer, now), before, "{}", case.name);
    }
}

#[test]
fn the_largest_age_does_not_overflow() {
    let (teller, mut hearer) = two_of(3);
    let now = Millis(100);
    let roster = hearer.roster(now);
    let beats = vec![(9, Millis(u64::MAX)); 3];
    hearer.merge_digest(Digest::Beats { roster, beats }, Millis(u64::MAX), now);
    assert_eq!(hearer.roster(now), teller.roster(now));
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
        let (mut teller, mut hearer) = two_of(fleet);
        let now = Millis(at);
        for (number, count, age, by_teller) in heard {
            let who = if by_teller { &mut teller } else { &mut hearer };
            // No daemon receives beats of its own that it never sent.
            let other = 1 + number % (fleet - 2);
            who.merge_heartbeat(beat(other, 1, count), Millis(age), now);
        }
        let mut by_list = hearer.clone();
        by_list.merge_digest(Digest::Whole(teller.digest(now)), Millis(30), now);
        hearer.merge_digest(teller.digest_for(hearer.roster(now), now), Millis(30), now);
        prop_assert_eq!(heard_of(&hearer, now), heard_of(&by_list, now));
    }
}

#[test]
fn dead_daemons_are_in_no_digest() {
    let (mut teller, mut hearer) = two_of(4);
    let now = DEAD_AFTER + Millis(500);
    for members in [&mut teller, &mut hearer] {
        members.merge_heartbeat(beat(1, 1, 30), Millis(100), now);
    }
    let told = teller.digest_for(hearer.roster(now), now);
    let Digest::Whole(told) = told else { panic!("each takes the other for dead") };
    assert_eq!(told.len(), 2);
}

/// Guards against beats being accepted without the last daemon's. The check passed if the missing
/// beat was the receiver's own, because that one is skipped.
#[test]
fn beats_without_the_last_daemon_are_ignored_whichever_is_last() {
    for fleet in [2, 3, 9] {
        let (teller, mut hearer) = two_of(fleet);
        let now = Millis(200);
        let before = heard_of(&hearer, now);
        let roster = hearer.roster(now);
        let beats = vec![(7, Millis(0)); fleet - 1];
        hearer.merge_digest(Digest::Beats { roster, beats }, Millis(0), now);
        assert_eq!(heard_of(&hearer, now), before, "{fleet} daemons");
        assert_eq!(roster, teller.roster(now));
    }
}
