//! Tests of packed versions of a configuration.

use std::sync::Arc;

use cherrystand_core::Revision;
use cherrystand_peer::{ConfigHistory, MAX_BODY_BYTES, PackedBody, UnpackError};
use proptest::prelude::*;

/// Returns a configuration with `count` routes, a few of which depend on the version.
fn routes(count: usize, version: usize) -> String {
    let route = |number: usize| {
        let timeout = 4_000 + usize::from(number % 97 == version % 97) * version;
        format!(
            "{{\"name\":\"r-{number}\",\"host\":\"h{}.example\",\"path_prefix\":\"/p{}/\",\
             \"kind\":\"idempotent\",\"timeout_ms\":{timeout},\"service\":\"s{}\"}}",
            number * 7_919 % 1_000,
            number * 104_729 % 99_991,
            number % 3
        )
    };
    let all: Vec<String> = (0..count).map(route).collect();
    format!("{{\"version\":{version},\"routes\":[{}]}}", all.join(","))
}

#[test]
fn the_packed_size_depends_on_what_changed() {
    struct Case {
        routes: usize,
        /// Maximum size of a version packed against the previous one, and alone, in bytes.
        max_bytes: (usize, usize),
    }
    let cases = [
        Case { routes: 60, max_bytes: (100, 1_500) },
        Case { routes: 400, max_bytes: (200, 7_000) },
        Case { routes: 1_400, max_bytes: (600, 25_000) },
        Case { routes: 10_000, max_bytes: (4_000, 180_000) },
    ];
    for case in cases {
        let (before, after) = (routes(case.routes, 7), routes(case.routes, 8));
        let base = Some((Revision::new(1), before.as_str()));
        let change = PackedBody::pack(Revision::new(2), &after, base).expect("packs");
        let alone = PackedBody::pack(Revision::new(2), &after, None).expect("packs");
        let sizes = (change.bytes.len(), alone.bytes.len());
        println!("{} routes, {} bytes: {sizes:?}", case.routes, after.len());
        assert!(
            sizes.0 <= case.max_bytes.0 && sizes.1 <= case.max_bytes.1,
            "{}: {sizes:?}",
            case.routes
        );
        assert_eq!(change.unpack(|_| Some(&before)).expect("unpacks"), after);
        assert_eq!(alone.unpack(|_| None).expect("unpacks"), after);
    }
}

#[test]
fn a_packed_text_that_does_not_match_is_rejected() {
    let (before, after, other) = (routes(50, 1), routes(50, 2), routes(50, 40));
    let good = PackedBody::pack(Revision::new(9), &after, Some((Revision::new(8), &before)))
        .expect("packs");
    struct Case {
        name: &'static str,
        packed: PackedBody,
        base: Option<String>,
        reason: &'static str,
    }
    let cut = |keep: usize| PackedBody { bytes: good.bytes[..keep].to_vec(), ..good.clone() };
    let mut flipped = good.clone();
    let middle = flipped.bytes.len() / 2;
    flipped.bytes[middle] ^= 0x10;
    let cases = [
        Case { name: "no base", packed: good.clone(), base: None, reason: "other-base" },
        Case { name: "another base", packed: good.clone(), base: Some(other), reason: "malformed" },
        Case {
            name: "truncated",
            packed: cut(good.bytes.len() - 3),
            base: Some(before.clone()),
            reason: "malformed",
        },
        Case { name: "empty", packed: cut(0), base: Some(before.clone()), reason: "malformed" },
        Case {
            name: "flipped bit",
            packed: flipped,
            base: Some(before.clone()),
            reason: "malformed",
        },
        Case {
            name: "longer than stated",
            packed: PackedBody { length: good.length - 1, ..good.clone() },
            base: Some(before.clone()),
            reason: "malformed",
        },
        Case {
            name: "shorter than stated",
            packed: PackedBody { length: good.length + 1, ..good.clone() },
            base: Some(before.clone()),
            reason: "malformed",
        },
        Case {
            name: "too large",
            packed: PackedBody { length: MAX_BODY_BYTES as u32 + 1, ..good.clone() },
            base: Some(before.clone()),
            reason: "too-large",
        },
    ];
    for case in cases {
        let err: UnpackError = case.packed.unpack(|_| case.base.as_deref()).expect_err(case.name);
        assert_eq!(err.as_str(), case.reason, "{}", case.name);
        assert!(UnpackError::ALL.contains(&case.reason));
    }
}

#[test]
fn memory_is_bounded_with_many_large_versions() {
    let mut versions = ConfigHistory::default();
    let large: Arc<str> = Arc::from(routes(10_000, 1));
    for revision in 1..200 {
        versions.record(Revision::new(revision), large.clone());
    }
    let kept = (1..200).filter(|revision| versions.get(Revision::new(*revision)).is_some()).count();
    // The newest, and five older ones of 1.2 MB.
    assert!(kept <= 6, "{kept} versions of {} bytes", large.len());
    assert_eq!(versions.newest_revision(), Revision::new(199));
}

proptest! {
    /// A peer with any version gets the newest one or an error, never another text.
    #[test]
    fn a_peer_gets_the_newest_version_from_any_base(
        counts in proptest::collection::vec(0usize..60, 1..12),
        theirs in 0u64..14,
    ) {
        let texts: Vec<Arc<str>> = counts
            .iter()
            .enumerate()
            .map(|(version, count)| Arc::from(routes(*count, version)))
            .collect();
        let (mut sender, mut receiver) = (ConfigHistory::default(), ConfigHistory::default());
        for (number, text) in texts.iter().enumerate() {
            let revision = Revision::new(number as u64 + 1);
            sender.record(revision, text.clone());
            if revision.number() <= theirs {
                receiver.record(revision, text.clone());
            }
        }
        match sender.newer_than(receiver.newest_revision()).expect("packs") {
            None => prop_assert!(receiver.newest_revision() >= sender.newest_revision()),
            Some(packed) => {
                let text = receiver.unpack(&packed).expect("unpacks");
                prop_assert_eq!(&text, texts.last().expect("a version"));
                receiver.record(packed.revision, text);
                prop_assert!(sender.newer_than(receiver.newest_revision()).expect("packs").is_none());
            }
        }
    }
}
